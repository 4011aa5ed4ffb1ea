import { describe, expect, test } from '@jest/globals';
import { SeededRandom, type Millis } from '@turmerichoist/core';
import fc from 'fast-check';
import {
  CONTACT_TICK_MS,
  CallBudget,
  RelayChoice,
  RouteDecider,
  type RelayCandidate,
  type RouteDecision,
  type RouteEvent,
} from '../src/index.js';
import { RUNS, SEED } from './support/runs.js';

// Each test is named after the failure that it guards against.

const ANSWERED: RouteEvent = { type: 'answered', refused: false, longPoll: false };
const REFUSED: RouteEvent = { type: 'answered', refused: true, longPoll: false };

/** A decider on a clock of its own, with ticks at their interval. */
class Member {
  readonly decider = new RouteDecider();
  readonly decisions: RouteDecision['type'][] = [];
  now: Millis = 0;
  #nextTickAt: Millis = 0;

  send(...events: readonly RouteEvent[]): void {
    for (const event of events) {
      const decided = this.decider.handle(event, this.now);
      this.decisions.push(...decided.map(({ type }) => type));
    }
  }

  /** Lets time pass; `event` happens every `periodMs`. */
  pass(ms: Millis, events: readonly RouteEvent[] = [], periodMs: Millis = 50): void {
    for (const end = this.now + ms; this.now < end; this.now += 10) {
      if (this.now >= this.#nextTickAt) {
        this.send({ type: 'tick' });
        this.#nextTickAt = this.now + CONTACT_TICK_MS;
      }
      if (this.now % periodMs === 0) {
        this.send(...events);
      }
    }
  }

  count(type: RouteDecision['type']): number {
    return this.decisions.filter((decision) => decision === type).length;
  }
}

function servedMember(): Member {
  const member = new Member();
  member.pass(1_000, [{ type: 'sent' }, ANSWERED]);
  return member;
}

function relayedMember(): Member {
  const member = servedMember();
  member.pass(500, [{ type: 'sent' }]);
  member.send({ type: 'relay-found' });
  return member;
}

describe('a member that the store serves', () => {
  test('looks for a relay or probes', () => {
    const member = servedMember();
    member.pass(10_000, [{ type: 'sent' }, ANSWERED]);
    expect(member.decisions).toEqual([]);
  });

  test('looks for a relay as some of its calls are refused', () => {
    const member = servedMember();
    const refusedWrite = [{ type: 'sent' }, REFUSED] as const;
    member.pass(10_000, [...refusedWrite, ...refusedWrite, { type: 'sent' }, ANSWERED]);
    expect(member.count('seek-relay')).toBe(0);
  });

  test('looks for a relay as a long poll is refused', () => {
    const member = servedMember();
    member.send({ type: 'answered', refused: true, longPoll: true });
    member.pass(1_000);
    expect(member.decisions).toEqual([]);
  });
});

describe('a member that the store turns away', () => {
  test.each([
    ['answers nothing', [{ type: 'sent' }]],
    ['refuses all calls', [{ type: 'sent' }, REFUSED]],
    ['resets all connections', [{ type: 'sent' }, { type: 'unanswered' }]],
  ] as const)('looks for a relay late: the store %s', (_name, events) => {
    const member = servedMember();
    member.pass(250, events);
    expect(member.count('seek-relay')).toBe(0);
    member.pass(200, events);
    expect(member.count('seek-relay')).toBe(1);
  });

  test('learns nothing of further refusals, as its calls back off', () => {
    const member = servedMember();
    member.send({ type: 'sent' }, REFUSED);
    for (let i = 0; i < 4; i += 1) {
      member.pass(CONTACT_TICK_MS);
      if (member.count('probe') > i) {
        member.send({ type: 'sent' }, REFUSED, { type: 'probed', answered: false });
      }
    }
    expect(member.count('seek-relay')).toBe(1);
  });

  test('asks for relays again and again while there is none', () => {
    const member = servedMember();
    const notFound: RouteEvent = { type: 'relay-not-found' };
    member.pass(500, [{ type: 'sent' }]);
    for (let asked = 0; member.now < 11_500;) {
      member.pass(10, [{ type: 'sent' }]);
      if (member.count('seek-relay') > asked) {
        asked += 1;
        member.send(notFound);
      }
    }
    expect(member.count('seek-relay')).toBeGreaterThan(8);
    expect(member.count('seek-relay')).toBeLessThan(16);
    expect(member.decider.route).toBe('direct');
  });

  test('sends calls the long way for longer than needed', () => {
    const member = relayedMember();
    expect(member.decider.route).toBe('relayed');
    member.pass(400);
    for (let probes = 0; probes < 2; probes += 1) {
      member.send({ type: 'sent' }, ANSWERED, { type: 'probed', answered: true });
      member.pass(400);
    }
    expect(member.decider.route).toBe('direct');
    expect(member.decisions.at(-1)).toBe('release-relay');
  });

  test('goes back to the store after one answer among refusals', () => {
    const member = relayedMember();
    for (let i = 0; i < 20; i += 1) {
      const answered = i % 2 === 0;
      member.send({ type: 'sent' }, answered ? ANSWERED : REFUSED, { type: 'probed', answered });
      member.pass(300);
    }
    expect(member.decider.route).toBe('relayed');
  });

  test('stays without a relay when the one that it has is lost', () => {
    const member = relayedMember();
    member.send({ type: 'relay-lost' });
    expect(member.decider.route).toBe('direct');
    expect(member.decisions.slice(-2)).toEqual(['take', 'seek-relay']);
  });

  test('keeps a link that it does not need, as the store answers before a relay is found', () => {
    const member = servedMember();
    member.pass(500, [{ type: 'sent' }]);
    member.send(ANSWERED, { type: 'relay-found' });
    expect(member.decider.route).toBe('direct');
    expect(member.decisions.at(-1)).toBe('release-relay');
  });
});

test('a member serves others while it relays, is not in touch, or has just got in touch', () => {
  const event: fc.Arbitrary<RouteEvent> = fc.oneof(
    ...(
      ['sent', 'unanswered', 'relay-found', 'relay-lost', 'relay-not-found', 'tick'] as const
    ).map((type) => fc.constant({ type })),
    fc.record({
      type: fc.constant('answered' as const),
      refused: fc.boolean(),
      longPoll: fc.boolean(),
    }),
    fc.record({ type: fc.constant('probed' as const), answered: fc.boolean() }),
  );
  const steps = fc.array(fc.tuple(event, fc.nat({ max: 400 })), { maxLength: 60 });
  fc.assert(
    fc.property(steps, (events) => {
      const member = new Member();
      let answeredAt: Millis | undefined;
      for (const [next, ms] of events) {
        member.now += ms;
        member.send(next);
        answeredAt ??= next.type === 'answered' && !next.refused ? member.now : undefined;
        if (member.decider.mayServe(member.now)) {
          expect(member.decider.route).toBe('direct');
          expect(member.decider.directState).toBe('in-touch');
          expect(member.now - (answeredAt ?? Infinity)).toBeGreaterThanOrEqual(500);
        }
      }
    }),
    { numRuns: RUNS, seed: SEED },
  );
});

describe('the choice of relays', () => {
  const candidate = (member: string, capacity: number, zone: string): RelayCandidate => ({
    ...{ member, capacity, zone },
    address: `${member}:1`,
  });
  const self = candidate('self', 1, 'a');
  const choose = (
    members: readonly RelayCandidate[],
    seed: number,
    failed: readonly string[] = [],
  ) => {
    const choice = new RelayChoice(self, new SeededRandom(seed));
    failed.forEach((member) => {
      choice.onFailed(member, 0);
    });
    return choice.choose(members, 2, 1_000).map(({ member }) => member);
  };

  test('a leader relays through a small member, or through itself', () => {
    const members = [self, candidate('small', 0.3, 'a'), candidate('large', 1, 'b')];
    expect(choose(members, 1)).toEqual(['large', 'small']);
  });

  test('a member that has just failed is asked before others', () => {
    const members = [candidate('x', 1, 'a'), candidate('y', 0.3, 'b'), candidate('z', 1, 'b')];
    expect(choose(members, 1, ['x'])).toEqual(['z', 'y']);
  });

  test('all members ask the same ones', () => {
    const members = Array.from({ length: 8 }, (_, i) => candidate(`m${i}`, 1, 'a'));
    const choice = new RelayChoice(self, new SeededRandom(1));
    const asked = Array.from({ length: 50 }, () => choice.choose(members, 2, 0)).flat();
    expect(new Set(asked).size).toBe(8);
  });
});

test('relayed calls exceed their bounds', () => {
  const budget = new CallBudget({ calls: 2, bytes: 100 });
  expect([budget.take(60), budget.take(60), budget.take(40), budget.take(0)]).toEqual([
    ...[true, false, true, false],
  ]);
  budget.release(60);
  expect(budget.take(60)).toBe(true);
});
