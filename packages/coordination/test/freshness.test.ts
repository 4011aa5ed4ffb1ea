import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import {
  CLOCK_DRIFT_RATIO,
  CONFIG_FRESH_MS,
  ConfigFreshness,
  type FreshnessEvent,
} from '@turmerichoist/coordination';
import { RUNS, SEED } from './support/runs.js';

const STEP_MS = 100;
/** Maximum staleness, with clock drift, plus one step of the simulation. */
const STALE_MS = CONFIG_FRESH_MS * (1 + 2 * CLOCK_DRIFT_RATIO) + STEP_MS;
const IDS = ['a', 'b', 'c'];

interface Delivery {
  readonly at: number;
  readonly to: number;
  readonly event: FreshnessEvent;
}

/** Simulates three members, a store that each may or may not reach, and links that may be cut. */
class World {
  now = 0;
  revision = 0;
  reach: readonly boolean[] = [true, true, true];
  cutLinks: ReadonlySet<string> = new Set();
  delayMs = 0;
  readonly applied = [0, 0, 0];
  readonly incarnations = ['a1', 'b1', 'c1'];
  readonly members = IDS.map(
    (_, index) => new ConfigFreshness(() => this.incarnations[index] ?? ''),
  );
  /** Time at which each revision was accepted. */
  #acceptedAt: readonly number[] = [0];
  #deliveries: readonly Delivery[] = [];
  readonly #rates: readonly number[];

  constructor(rates: readonly number[] = [1, 1, 1]) {
    this.#rates = rates;
    IDS.forEach((_, index) => {
      const others = IDS.filter((id) => id !== IDS[index]);
      const members = others.map((memberId) => ({ memberId, incarnation: `${memberId}1` }));
      this.dispatch(index, { type: 'members', members });
    });
  }

  clock(index: number): number {
    return this.now * (this.#rates[index] ?? 1);
  }

  dispatch(index: number, event: FreshnessEvent): void {
    const decisions = this.members[index]?.handle(event, this.clock(index)) ?? [];
    for (const decision of decisions) {
      if (decision.type === 'send-ping') {
        const { nonce, to } = decision;
        this.#send(index, to, { type: 'ping', from: IDS[index] ?? '', nonce });
      } else if (decision.type === 'send-pong') {
        const { nonce, to, report } = decision;
        this.#send(index, to, { type: 'pong', from: IDS[index] ?? '', nonce, report });
      }
    }
  }

  /** Accepts a configuration change at one member, which applies it at once. */
  accept(index: number): void {
    if (this.reach[index] === true) {
      this.revision += 1;
      this.#acceptedAt = [...this.#acceptedAt, this.now];
      this.#apply(index);
    }
  }

  step(): void {
    this.now += STEP_MS;
    const due = this.#deliveries.filter(({ at }) => at <= this.now);
    this.#deliveries = this.#deliveries.filter(({ at }) => at > this.now);
    due.forEach(({ to, event }) => {
      this.dispatch(to, event);
    });
    IDS.forEach((_, index) => {
      if ((this.now + index * STEP_MS) % 500 === 0) {
        this.#poll(index);
      }
      if ((this.now + index * STEP_MS) % 1_000 === 0) {
        this.dispatch(index, { type: 'tick' });
      }
    });
  }

  isFresh(index: number): boolean {
    return (this.members[index]?.until ?? 0) > this.clock(index);
  }

  /** Age of the oldest accepted change that a member has not applied. */
  staleness(index: number): number {
    const missing = this.#acceptedAt[(this.applied[index] ?? 0) + 1];
    return missing === undefined ? 0 : this.now - missing;
  }

  #poll(index: number): void {
    if (this.reach[index] !== true) {
      this.dispatch(index, { type: 'store-failed' });
      return;
    }
    const sentAt = this.clock(index);
    this.dispatch(index, { type: 'head-read', sentAt, revision: this.revision });
    this.#apply(index);
  }

  #apply(index: number): void {
    this.applied[index] = this.revision;
    this.dispatch(index, { type: 'applied', revision: this.revision });
  }

  #send(from: number, to: string, event: FreshnessEvent): void {
    const target = IDS.indexOf(to);
    if (!this.cutLinks.has([from, target].toSorted().join('-'))) {
      const at = this.now + this.delayMs;
      this.#deliveries = [...this.#deliveries, { at, to: target, event }];
    }
  }
}

test('no member uses a configuration that was replaced more than 8 s ago', () => {
  const reach = fc.constantFrom(
    [true, true, true],
    [false, false, false],
    [false, false, true],
    [false, true, true],
  );
  const step = fc.record({
    reach,
    cutLinks: fc.subarray(['0-1', '0-2', '1-2']),
    delayMs: fc.constantFrom(0, 0, 300, 2_500),
    acceptBy: fc.option(fc.nat({ max: 2 })),
    steps: fc.integer({ min: 1, max: 120 }),
  });
  const rates = fc.array(fc.constantFrom(1, 1.005, 1.01), { minLength: 3, maxLength: 3 });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 8 }), rates, (steps, drawnRates) => {
      const world = new World(drawnRates);
      for (const { acceptBy, steps: count, ...conditions } of steps) {
        Object.assign(world, { ...conditions, cutLinks: new Set(conditions.cutLinks) });
        if (acceptBy !== null) {
          world.accept(acceptBy);
        }
        for (let at = 0; at < count; at++) {
          world.step();
          IDS.forEach((id, index) => {
            if (world.isFresh(index) && world.staleness(index) > STALE_MS) {
              throw new Error(`${id} is ${world.staleness(index)} ms behind at ${world.now}`);
            }
          });
        }
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

function run(world: World, ms: number): readonly boolean[] {
  let fresh = [true, true, true];
  for (const until = world.now + ms; world.now < until;) {
    world.step();
    fresh = fresh.map((was, index) => was && world.isFresh(index));
  }
  return fresh;
}

test('work continues through a store outage of an hour that all members report', () => {
  const world = new World();
  run(world, 5_000);
  world.reach = [false, false, false];
  expect(run(world, 3_600_000)).toEqual([true, true, true]);
});

test('one member that is out of contact ends the outage rule for all', () => {
  const world = new World();
  run(world, 5_000);
  world.reach = [false, false, false];
  run(world, 20_000);
  world.cutLinks = new Set(['0-2', '1-2']);
  run(world, CONFIG_FRESH_MS + 1_000);
  expect([0, 1, 2].map((index) => world.isFresh(index))).toEqual([false, false, false]);
});

test("peers confirm the configuration of a member that can't reach the store", () => {
  const world = new World();
  run(world, 5_000);
  world.reach = [false, true, true];
  expect(run(world, 60_000)).toEqual([true, true, true]);
});

test('a member with a change of unknown outcome does not confirm the outage', () => {
  const world = new World();
  run(world, 5_000);
  world.reach = [false, false, false];
  world.dispatch(2, { type: 'change', pending: true });
  run(world, 20_000);
  expect([world.isFresh(0), world.isFresh(2)]).toEqual([false, false]);
});

test('a member that the instance list has dropped does not end the outage rule', () => {
  const world = new World();
  run(world, 5_000);
  world.reach = [false, false, false];
  world.cutLinks = new Set(['0-2', '1-2']);
  [0, 1].forEach((index) => {
    world.dispatch(index, { type: 'dropped', memberId: 'c' });
  });
  run(world, 60_000);
  expect([0, 1, 2].map((index) => world.isFresh(index))).toEqual([true, true, false]);
});

test('a restarted member confirms for its former process only if that one confirmed too', () => {
  const before = new World();
  run(before, 5_000);
  before.reach = [false, false, false];
  before.incarnations[2] = 'c2';
  run(before, 20_000);
  const during = new World();
  run(during, 5_000);
  during.reach = [false, false, false];
  run(during, 5_000);
  during.incarnations[2] = 'c2';
  run(during, 20_000);
  expect([before.isFresh(0), during.isFresh(0)]).toEqual([false, true]);
});

test('the outage rule does not revive a configuration that is no longer fresh', () => {
  const world = new World();
  run(world, 5_000);
  world.reach = [false, false, false];
  world.cutLinks = new Set(['0-1', '0-2']);
  run(world, 20_000);
  world.cutLinks = new Set();
  run(world, 5_000);
  expect([0, 1, 2].map((index) => world.isFresh(index))).toEqual([false, false, false]);
});
