import { describe, expect, test } from '@jest/globals';
import {
  type Arrival,
  type AttemptResult,
  RequestDecider,
  type RequestDecision,
  type RequestEvent,
  SeededRandom,
} from '../src/index.js';
import { KEY, type WorldOptions, cfgOf } from './requests-world.js';

const LATER = 1_000_000;

/** An entry with a confirmed configuration, and the decisions that came out last. */
class Entry {
  readonly decider: RequestDecider;
  now = 0;
  last: readonly RequestDecision[] = [];
  #revision = 0;

  constructor(world: WorldOptions = {}, units = 2, queueCapacity = 100) {
    this.decider = new RequestDecider({ random: new SeededRandom(1), queueCapacity });
    this.configure(world);
    this.do({ type: 'freshness', until: LATER });
    this.grant(units);
  }

  configure(world: WorldOptions): readonly string[] {
    this.#revision += 1;
    return this.do({ type: 'config-changed', cfg: cfgOf({ ...world, revision: this.#revision }) });
  }

  grant(units: number, validUntil = LATER): readonly string[] {
    const each = new Map([
      ['a', units],
      ['b', units],
    ]);
    return this.do({ type: 'grants-changed', units: each, validUntil });
  }

  /** Handles an event and gives the decisions in short form. */
  do(event: RequestEvent): readonly string[] {
    this.last = this.decider.handle(event, this.now);
    return this.last.map((d) => `${d.id} ${d.type === 'refuse' ? d.err.kind : d.type}`);
  }

  arrive(id: string, over: Partial<Arrival> = {}): readonly string[] {
    const base = { queue: 'q', workClass: 'normal', idempotent: false } as const;
    const arrival = { id, keySha256: KEY.a, ...base, deadline: this.now + 5_000, ...over };
    return this.do({ type: 'arrived', arrival });
  }

  /** Ends the attempt that the last decisions started. */
  end(result: AttemptResult['type'], load?: { running: number; slots: number }): readonly string[] {
    const sent = this.last.find((decision) => decision.type === 'send');
    if (sent?.type !== 'send') {
      throw new Error('nothing was sent last');
    }
    const { id, upstream } = sent;
    const more = load === undefined ? {} : { load };
    return this.do({ type: 'attempt-ended', id, upstream, result: { type: result }, ...more });
  }

  upstream(): string {
    const sent = this.last.find((decision) => decision.type === 'send');
    return sent?.type === 'send' ? sent.upstream : '';
  }

  pass(ms: number): readonly string[] {
    this.now += ms;
    return this.do({ type: 'tick' });
  }
}

describe('keys and freshness', () => {
  test('an unknown or withdrawn key is not served', () => {
    const entry = new Entry({ withdrawn: ['a'] });
    expect(entry.arrive('1')).toEqual(['1 key-rejected']);
    expect(entry.arrive('2', { keySha256: 'c'.repeat(64) })).toEqual(['2 key-rejected']);
  });

  test('keyed work is not accepted on a configuration that is no longer confirmed', () => {
    const entry = new Entry();
    entry.now = LATER;
    expect(entry.arrive('1')).toEqual(['1 config-stale']);
  });

  test('a key that is withdrawn while work waits does not start that work', () => {
    const entry = new Entry({}, 0);
    entry.arrive('1');
    entry.configure({ withdrawn: ['a'] });
    expect(entry.grant(2)).toEqual(['1 key-rejected']);
  });

  test('work does not start after freshness was lost while it waited', () => {
    const entry = new Entry({}, 0);
    entry.arrive('1');
    entry.do({ type: 'freshness', until: 0 });
    expect(entry.grant(2)).toEqual(['1 config-stale']);
  });

  test('open queues take work without a key', () => {
    const entry = new Entry({ open: true }, 0);
    const arrival = { id: '1', queue: 'q', workClass: 'normal', idempotent: false } as const;
    const event = { type: 'arrived', arrival: { ...arrival, deadline: 5_000 } } as const;
    expect(entry.do(event)).toEqual(['1 send']);
  });
});

describe('units', () => {
  test('a team does not run more than its units', () => {
    const entry = new Entry();
    expect(['1', '2', '3'].flatMap((id) => entry.arrive(id))).toEqual(['1 send', '2 send']);
  });

  test('an expired grant starts nothing, and a new one starts what waits', () => {
    const entry = new Entry();
    entry.grant(2, 10);
    entry.now = 10;
    expect(entry.arrive('1')).toEqual([]);
    const [reason] = entry.decider.waitingReasons('a', 10);
    expect(reason).toMatchObject({ queue: 'q', waiting: 1, reason: 'grants-expired' });
    expect(entry.grant(1)).toEqual(['1 send']);
  });

  test('a limit lowered below the grant holds at once', () => {
    const entry = new Entry({ limit: 1 });
    expect(['1', '2'].flatMap((id) => entry.arrive(id))).toEqual(['1 send']);
    expect(entry.decider.demand()).toEqual([{ queue: 'q', team: 'a', waiting: 1, running: 1 }]);
  });
});

describe('attempts', () => {
  test('work that is not idempotent does not run twice after a failure', () => {
    const entry = new Entry();
    entry.arrive('1');
    expect(entry.end('failed')).toEqual(['1 upstream-failed']);
  });

  test.each(['refused', 'not-sent'] as const)('work that was %s is tried elsewhere', (result) => {
    const entry = new Entry();
    entry.arrive('1');
    const first = entry.upstream();
    expect(entry.end(result)).toEqual(['1 send']);
    expect(entry.upstream()).not.toBe(first);
  });

  test('idempotent work is not retried where it failed', () => {
    const entry = new Entry({ upstreams: 1 });
    entry.arrive('1', { idempotent: true });
    expect(entry.end('timed-out')).toEqual(['1 upstream-timeout']);
  });

  test('retries do not exceed their budget', () => {
    const entry = new Entry({ upstreams: 9 });
    const retried = Array.from({ length: 9 }, (_, at) => {
      entry.arrive(String(at), { idempotent: true });
      const again = entry.end('failed').includes(`${at} send`);
      return again && entry.end('answered').length === 0;
    });
    expect(retried.filter(Boolean)).toHaveLength(3);
  });

  test('a refusal after an attempt that may have run does not say "not run"', () => {
    const entry = new Entry({ upstreams: 3 });
    entry.arrive('1', { idempotent: true });
    expect(entry.end('failed')).toEqual(['1 send']);
    const second = entry.last;
    entry.configure({ upstreams: 3, withdrawn: ['a'] });
    entry.last = second;
    expect(entry.end('refused')).toEqual(['1 upstream-failed']);
  });

  test('the end of an earlier attempt does not end the current one', () => {
    const entry = new Entry({ upstreams: 1 });
    entry.arrive('1');
    const late = { type: 'attempt-ended', id: '1', upstream: 'u1', attempt: 1 } as const;
    entry.end('refused');
    expect(entry.pass(1_000)).toEqual(['1 send']);
    entry.do({ ...late, result: { type: 'refused' } });
    expect(entry.decider.demand()).toMatchObject([{ waiting: 0, running: 1 }]);
  });

  test('a cancelled attempt keeps its unit until it ends', () => {
    const entry = new Entry({}, 1);
    entry.arrive('1');
    const sent = entry.last;
    entry.arrive('2');
    expect(entry.do({ type: 'cancelled', id: '1' })).toEqual(['1 abort']);
    entry.last = sent;
    expect(entry.end('failed')).toEqual(['1 caller-gone', '2 send']);
  });
});

describe('executors', () => {
  test.each<WorldOptions>([{ leaving: [1] }, { zoneOut: true }])(
    'one that leaves or whose zone is out gets nothing (%j)',
    (world) => {
      const entry = new Entry({ ...world, slots: 8 }, 8);
      const all = Array.from({ length: 8 }, (_, at) => {
        entry.arrive(String(at));
        return entry.upstream();
      });
      expect(new Set(all)).toEqual(new Set(['u2']));
    },
  );

  test('a wave of bad requests does not eject more than half of a pool', () => {
    const entry = new Entry({ upstreams: 4 });
    for (let at = 0; at < 200; at += 1) {
      entry.arrive(String(at));
      entry.end('failed');
    }
    const used = Array.from({ length: 40 }, (_, at) => {
      entry.arrive(`x${at}`);
      const name = entry.upstream();
      entry.end('answered');
      return name;
    });
    expect(new Set(used).size).toBe(2);
  });

  test('an ejected executor is tried again with one attempt at a time', () => {
    const entry = new Entry({ upstreams: 2, slots: 8 }, 16);
    for (let at = 0; at < 100; at += 1) {
      entry.arrive(String(at));
      entry.end('failed');
    }
    entry.pass(60_000);
    const used = Array.from({ length: 9 }, (_, at) => {
      entry.arrive(`x${at}`);
      return entry.upstream();
    });
    const counts = ['u1', 'u2'].map((name) => used.filter((each) => each === name).length);
    expect(Math.min(...counts)).toBe(1);
  });

  test('a reported load keeps new work away from a full executor', () => {
    const entry = new Entry({ slots: 8 }, 8);
    entry.arrive('0');
    const full = entry.upstream();
    entry.end('answered', { running: 8, slots: 8 });
    const used = Array.from({ length: 6 }, (_, at) => {
      entry.arrive(`x${at}`);
      return entry.upstream();
    });
    expect(used).not.toContain(full);
  });
});

describe('waiting', () => {
  /** Has 40 requests answered after `ms` each, so that the service rate is measured. */
  function warmUp(entry: Entry, ms: number): void {
    for (let at = 0; at < 40; at += 1) {
      entry.arrive(`w${at}`);
      entry.now += ms;
      entry.end('answered');
    }
  }

  test('work that cannot start in time is refused on arrival with a time to come back', () => {
    const entry = new Entry({ upstreams: 1, slots: 1 });
    warmUp(entry, 100);
    for (let at = 0; at < 11; at += 1) {
      entry.arrive(String(at), { deadline: entry.now + 50_000 });
    }
    expect(entry.arrive('x', { deadline: entry.now + 500 })).toEqual(['x deadline-unreachable']);
    expect(entry.last).toMatchObject([{ err: { retryAfterMs: 700 } }]);
    expect(entry.arrive('y', { deadline: entry.now + 5_000 })).toEqual([]);
  });

  test('work that can no longer be complete in time gives way to work that can', () => {
    const entry = new Entry({ upstreams: 1, slots: 1 });
    warmUp(entry, 100);
    entry.arrive('1');
    const sent = entry.last;
    entry.arrive('late', { deadline: entry.now + 250 });
    entry.arrive('next');
    entry.now += 200;
    entry.last = sent;
    expect(entry.end('answered')).toEqual(['late deadline-unreachable', 'next send']);
  });

  test('timeouts of callers with little time do not eject an executor', () => {
    const entry = new Entry({ slots: 8 }, 16);
    warmUp(entry, 100);
    for (let at = 0; at < 40; at += 1) {
      entry.arrive(`t${at}`);
      entry.now += 10;
      entry.end('timed-out');
    }
    const used = Array.from({ length: 16 }, (_, at) => {
      entry.arrive(`x${at}`);
      return entry.upstream();
    });
    expect(new Set(used)).toEqual(new Set(['u1', 'u2']));
  });

  test('an entry keeps to its part of the slots while another entry wants the rest', () => {
    const entry = new Entry({ upstreams: 1, slots: 8 }, 8);
    entry.arrive('0');
    entry.now = 300;
    const rows = [{ queue: 'q', team: 'b', waiting: 100, running: 0 }];
    entry.do({ type: 'peer-demand', member: 'e1', rows });
    expect(['1', '2', '3'].flatMap((id) => entry.arrive(id))).toEqual([]);
  });

  test('waiting work is refused at its deadline', () => {
    const entry = new Entry({}, 0);
    entry.arrive('1', { deadline: 30 });
    expect([entry.pass(29), entry.pass(1)]).toEqual([[], ['1 deadline-passed']]);
  });

  test('a queue with one team that floods it still takes work of another', () => {
    const entry = new Entry({}, 0, 20);
    const flood = Array.from({ length: 30 }, (_, at) => entry.arrive(String(at)));
    expect(flood.at(-1)).toEqual(['29 queue-full']);
    expect(entry.arrive('b', { keySha256: KEY.b })).toEqual([]);
  });

  test('an idempotency key does not run twice, and is free again if it did not run', () => {
    const entry = new Entry();
    const idempotencyKey = 'k';
    entry.arrive('1', { idempotencyKey });
    const sent = entry.last;
    expect(entry.arrive('2', { idempotencyKey })).toEqual(['2 idempotency-running']);
    entry.last = sent;
    entry.end('answered');
    expect(entry.arrive('3', { idempotencyKey })).toEqual(['3 idempotency-done']);
    entry.grant(0);
    entry.arrive('4', { idempotencyKey: 'j' });
    entry.do({ type: 'cancelled', id: '4' });
    entry.grant(1);
    expect(entry.arrive('5', { idempotencyKey: 'j' })).toEqual(['5 send']);
  });
});
