import { describe, expect, test } from '@jest/globals';
import {
  type Arrival,
  type AttemptResult,
  RequestDecider,
  type RequestDecision,
  type RequestEvent,
  SeededRandom,
} from '../src/index.js';
import { KEY, type ConfigurationOptions, buildConfiguration } from './requests-fixtures.js';

const FAR_FUTURE = 1_000_000;

/** Drives the decider of one entry with a confirmed configuration. Keeps the last decisions. */
class DeciderHarness {
  readonly decider: RequestDecider;
  now = 0;
  lastDecisions: readonly RequestDecision[] = [];
  #revision = 0;

  constructor(options: ConfigurationOptions = {}, units = 2, queueCapacity = 100) {
    this.decider = new RequestDecider({ random: new SeededRandom(1), queueCapacity });
    this.configure(options);
    this.handle({ type: 'freshness', until: FAR_FUTURE });
    this.grant(units);
  }

  configure(options: ConfigurationOptions): readonly string[] {
    this.#revision += 1;
    return this.handle({
      type: 'config-changed',
      cfg: buildConfiguration({ ...options, revision: this.#revision }),
    });
  }

  grant(units: number, validUntil = FAR_FUTURE): readonly string[] {
    const each = new Map([
      ['a', units],
      ['b', units],
    ]);
    return this.handle({ type: 'grants-changed', units: each, validUntil });
  }

  /** Handles an event and returns the decisions as `<id> <type or error kind>`. */
  handle(event: RequestEvent): readonly string[] {
    this.lastDecisions = this.decider.handle(event, this.now);
    return this.lastDecisions.map((d) => `${d.id} ${d.type === 'refuse' ? d.err.kind : d.type}`);
  }

  arrive(id: string, overrides: Partial<Arrival> = {}): readonly string[] {
    const base = { queue: 'q', workClass: 'normal', idempotent: false } as const;
    const arrival = { id, keySha256: KEY.a, ...base, deadline: this.now + 5_000, ...overrides };
    return this.handle({ type: 'arrived', arrival });
  }

  /** Ends the attempt that was started by the last decisions. */
  endAttempt(
    result: AttemptResult['type'],
    load?: { running: number; slots: number },
  ): readonly string[] {
    const sent = this.lastDecisions.find((decision) => decision.type === 'send');
    if (sent?.type !== 'send') {
      throw new Error('the last decisions include no send');
    }
    const { id, upstream } = sent;
    const more = load === undefined ? {} : { load };
    return this.handle({
      type: 'attempt-ended',
      id,
      upstream,
      result: { type: result },
      ...more,
    });
  }

  lastUpstream(): string {
    const sent = this.lastDecisions.find((decision) => decision.type === 'send');
    return sent?.type === 'send' ? sent.upstream : '';
  }

  advance(ms: number): readonly string[] {
    this.now += ms;
    return this.handle({ type: 'tick' });
  }
}

describe('keys and freshness', () => {
  test('a request with an unknown or withdrawn key is rejected', () => {
    const entry = new DeciderHarness({ withdrawn: ['a'] });
    expect(entry.arrive('1')).toEqual(['1 key-rejected']);
    expect(entry.arrive('2', { keySha256: 'c'.repeat(64) })).toEqual(['2 key-rejected']);
  });

  test('a request with a key is refused once the configuration is no longer confirmed', () => {
    const entry = new DeciderHarness();
    entry.now = FAR_FUTURE;
    expect(entry.arrive('1')).toEqual(['1 config-stale']);
  });

  test('a request does not start after its key was withdrawn while it waited', () => {
    const entry = new DeciderHarness({}, 0);
    entry.arrive('1');
    entry.configure({ withdrawn: ['a'] });
    expect(entry.grant(2)).toEqual(['1 key-rejected']);
  });

  test('a request does not start after the configuration went stale while it waited', () => {
    const entry = new DeciderHarness({}, 0);
    entry.arrive('1');
    entry.handle({ type: 'freshness', until: 0 });
    expect(entry.grant(2)).toEqual(['1 config-stale']);
  });

  test('open queues accept requests without a key', () => {
    const entry = new DeciderHarness({ open: true }, 0);
    const arrival = { id: '1', queue: 'q', workClass: 'normal', idempotent: false } as const;
    const event = { type: 'arrived', arrival: { ...arrival, deadline: 5_000 } } as const;
    expect(entry.handle(event)).toEqual(['1 send']);
  });
});

describe('units', () => {
  test('a team does not run more requests than it has units', () => {
    const entry = new DeciderHarness();
    expect(['1', '2', '3'].flatMap((id) => entry.arrive(id))).toEqual(['1 send', '2 send']);
  });

  test('an expired grant starts nothing, and a new grant starts waiting requests', () => {
    const entry = new DeciderHarness();
    entry.grant(2, 10);
    entry.now = 10;
    expect(entry.arrive('1')).toEqual([]);
    const [reason] = entry.decider.waitingReasons('a', 10);
    expect(reason).toMatchObject({ queue: 'q', waiting: 1, reason: 'grants-expired' });
    expect(entry.grant(1)).toEqual(['1 send']);
  });

  test('a limit lowered below the grant takes effect at once', () => {
    const entry = new DeciderHarness({ limit: 1 });
    expect(['1', '2'].flatMap((id) => entry.arrive(id))).toEqual(['1 send']);
    expect(entry.decider.demand()).toEqual([{ queue: 'q', team: 'a', waiting: 1, running: 1 }]);
  });
});

describe('attempts', () => {
  test('a request that is not idempotent is not retried after a failure', () => {
    const entry = new DeciderHarness();
    entry.arrive('1');
    expect(entry.endAttempt('failed')).toEqual(['1 upstream-failed']);
  });

  test.each(['refused', 'not-sent'] as const)(
    'a request that was %s is retried on another upstream',
    (result) => {
      const entry = new DeciderHarness();
      entry.arrive('1');
      const first = entry.lastUpstream();
      expect(entry.endAttempt(result)).toEqual(['1 send']);
      expect(entry.lastUpstream()).not.toBe(first);
    },
  );

  test('an idempotent request is not retried on the upstream where it failed', () => {
    const entry = new DeciderHarness({ upstreams: 1 });
    entry.arrive('1', { idempotent: true });
    expect(entry.endAttempt('timed-out')).toEqual(['1 upstream-timeout']);
  });

  test('retries stay within the retry budget', () => {
    const entry = new DeciderHarness({ upstreams: 9 });
    const retried = Array.from({ length: 9 }, (_, at) => {
      entry.arrive(String(at), { idempotent: true });
      const again = entry.endAttempt('failed').includes(`${at} send`);
      return again && entry.endAttempt('answered').length === 0;
    });
    expect(retried.filter(Boolean)).toHaveLength(3);
  });

  test('a refusal after an attempt that may have run does not report "not run"', () => {
    const entry = new DeciderHarness({ upstreams: 3 });
    entry.arrive('1', { idempotent: true });
    expect(entry.endAttempt('failed')).toEqual(['1 send']);
    const second = entry.lastDecisions;
    entry.configure({ upstreams: 3, withdrawn: ['a'] });
    entry.lastDecisions = second;
    expect(entry.endAttempt('refused')).toEqual(['1 upstream-failed']);
  });

  test('a late result of an earlier attempt does not end the current attempt', () => {
    const entry = new DeciderHarness({ upstreams: 1 });
    entry.arrive('1');
    const late = { type: 'attempt-ended', id: '1', upstream: 'u1', attempt: 1 } as const;
    entry.endAttempt('refused');
    expect(entry.advance(1_000)).toEqual(['1 send']);
    entry.handle({ ...late, result: { type: 'refused' } });
    expect(entry.decider.demand()).toMatchObject([{ waiting: 0, running: 1 }]);
  });

  test('a cancelled attempt keeps its unit until it ends', () => {
    const entry = new DeciderHarness({}, 1);
    entry.arrive('1');
    const sent = entry.lastDecisions;
    entry.arrive('2');
    expect(entry.handle({ type: 'cancelled', id: '1' })).toEqual(['1 abort']);
    entry.lastDecisions = sent;
    expect(entry.endAttempt('failed')).toEqual(['1 caller-gone', '2 send']);
  });
});

describe('executors', () => {
  test.each<ConfigurationOptions>([{ leaving: [1] }, { zoneOut: true }])(
    'an executor that is leaving or whose zone is out gets no requests (%j)',
    (world) => {
      const entry = new DeciderHarness({ ...world, slots: 8 }, 8);
      const all = Array.from({ length: 8 }, (_, at) => {
        entry.arrive(String(at));
        return entry.lastUpstream();
      });
      expect(new Set(all)).toEqual(new Set(['u2']));
    },
  );

  test('a burst of bad requests does not eject more than half of a pool', () => {
    const entry = new DeciderHarness({ upstreams: 4 });
    for (let at = 0; at < 200; at += 1) {
      entry.arrive(String(at));
      entry.endAttempt('failed');
    }
    const used = Array.from({ length: 40 }, (_, at) => {
      entry.arrive(`x${at}`);
      const name = entry.lastUpstream();
      entry.endAttempt('answered');
      return name;
    });
    expect(new Set(used).size).toBe(2);
  });

  test('an ejected executor is probed with one attempt at a time', () => {
    const entry = new DeciderHarness({ upstreams: 2, slots: 8 }, 16);
    for (let at = 0; at < 100; at += 1) {
      entry.arrive(String(at));
      entry.endAttempt('failed');
    }
    entry.advance(60_000);
    const used = Array.from({ length: 9 }, (_, at) => {
      entry.arrive(`x${at}`);
      return entry.lastUpstream();
    });
    const counts = ['u1', 'u2'].map((name) => used.filter((each) => each === name).length);
    expect(Math.min(...counts)).toBe(1);
  });

  test('an executor that reports full load gets no new requests', () => {
    const entry = new DeciderHarness({ slots: 8 }, 8);
    entry.arrive('0');
    const full = entry.lastUpstream();
    entry.endAttempt('answered', { running: 8, slots: 8 });
    const used = Array.from({ length: 6 }, (_, at) => {
      entry.arrive(`x${at}`);
      return entry.lastUpstream();
    });
    expect(used).not.toContain(full);
  });
});

describe('waiting', () => {
  /** Completes 40 requests that take `ms` each, so that the service rate can be estimated. */
  function warmUp(entry: DeciderHarness, ms: number): void {
    for (let at = 0; at < 40; at += 1) {
      entry.arrive(`w${at}`);
      entry.now += ms;
      entry.endAttempt('answered');
    }
  }

  test('a request that cannot meet its deadline is refused on arrival with a retry time', () => {
    const entry = new DeciderHarness({ upstreams: 1, slots: 1 });
    warmUp(entry, 100);
    for (let at = 0; at < 11; at += 1) {
      entry.arrive(String(at), { deadline: entry.now + 50_000 });
    }
    expect(entry.arrive('x', { deadline: entry.now + 500 })).toEqual(['x deadline-unreachable']);
    expect(entry.lastDecisions).toMatchObject([{ err: { retryAfterMs: 700 } }]);
    expect(entry.arrive('y', { deadline: entry.now + 5_000 })).toEqual([]);
  });

  test('a request that can no longer meet its deadline is refused in favour of one that can', () => {
    const entry = new DeciderHarness({ upstreams: 1, slots: 1 });
    warmUp(entry, 100);
    entry.arrive('1');
    const sent = entry.lastDecisions;
    entry.arrive('late', { deadline: entry.now + 250 });
    entry.arrive('next');
    entry.now += 200;
    entry.lastDecisions = sent;
    expect(entry.endAttempt('answered')).toEqual(['late deadline-unreachable', 'next send']);
  });

  test('timeouts of requests with short deadlines do not eject an executor', () => {
    const entry = new DeciderHarness({ slots: 8 }, 16);
    warmUp(entry, 100);
    for (let at = 0; at < 40; at += 1) {
      entry.arrive(`t${at}`);
      entry.now += 10;
      entry.endAttempt('timed-out');
    }
    const used = Array.from({ length: 16 }, (_, at) => {
      entry.arrive(`x${at}`);
      return entry.lastUpstream();
    });
    expect(new Set(used)).toEqual(new Set(['u1', 'u2']));
  });

  test('an entry stays within its share of the slots while another entry has demand', () => {
    const entry = new DeciderHarness({ upstreams: 1, slots: 8 }, 8);
    entry.arrive('0');
    entry.now = 300;
    const rows = [{ queue: 'q', team: 'b', waiting: 100, running: 0 }];
    entry.handle({ type: 'peer-demand', member: 'e1', rows });
    expect(['1', '2', '3'].flatMap((id) => entry.arrive(id))).toEqual([]);
  });

  test('a waiting request is refused at its deadline', () => {
    const entry = new DeciderHarness({}, 0);
    entry.arrive('1', { deadline: 30 });
    expect([entry.advance(29), entry.advance(1)]).toEqual([[], ['1 deadline-passed']]);
  });

  test('a queue flooded by one team still accepts requests of another', () => {
    const entry = new DeciderHarness({}, 0, 20);
    const flood = Array.from({ length: 30 }, (_, at) => entry.arrive(String(at)));
    expect(flood.at(-1)).toEqual(['29 queue-full']);
    expect(entry.arrive('b', { keySha256: KEY.b })).toEqual([]);
  });

  test('an idempotency key runs at most once, and can be reused if its request did not run', () => {
    const entry = new DeciderHarness();
    const idempotencyKey = 'k';
    entry.arrive('1', { idempotencyKey });
    const sent = entry.lastDecisions;
    expect(entry.arrive('2', { idempotencyKey })).toEqual(['2 idempotency-running']);
    entry.lastDecisions = sent;
    entry.endAttempt('answered');
    expect(entry.arrive('3', { idempotencyKey })).toEqual(['3 idempotency-done']);
    entry.grant(0);
    entry.arrive('4', { idempotencyKey: 'j' });
    entry.handle({ type: 'cancelled', id: '4' });
    entry.grant(1);
    expect(entry.arrive('5', { idempotencyKey: 'j' })).toEqual(['5 send']);
  });
});
