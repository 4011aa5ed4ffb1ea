import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { INSTANCES, POOLS, smallFleet } from './fleet-fixtures.js';
import { FleetWorld } from './fleet-world.js';

const SEED = 20_261_204;
const RUNS = 1_000;
const TIMEOUT_MS = 180_000;
const MEMBERS = 3;
/** Limit on transactions between two ticks. Exceeding it indicates a retry loop. */
const MAX_COMMITS = 60;
/** Number of 5 s ticks within which every plan must end once failures stop. */
const FINAL_TICKS = 400;

type Step = (world: FleetWorld) => void;

const member = fc.nat(MEMBERS - 1);
const instance = fc.constantFrom(...INSTANCES);
const pool = fc.constantFrom(...POOLS);
const step = <T>(arbitrary: fc.Arbitrary<T>, run: (world: FleetWorld, value: T) => void) =>
  arbitrary.map((value): Step => (world) => {
    run(world, value);
  });

const tick = step(fc.constant(5_000), (world, ms) => {
  world.tick(ms);
});
const commit = step(fc.nat(5), (world, choice) => {
  world.commit(choice);
});
const deliver = step(member, (world, index) => {
  world.deliver(index);
});
const drained = step(instance, (world, name) => {
  world.finishDrain(name);
});
const booted = step(instance, (world, name) => {
  world.bootUp(name);
});
const failed = step(instance, (world, name) => {
  world.fail(name);
});
const owned = step(fc.tuple(pool, member), (world, [role, index]) => {
  world.takeOver(role, index);
});
const lost = step(fc.boolean(), (world, settle) => {
  if (settle) {
    world.deliverLostResponses();
  } else {
    world.loseNextResponse = true;
  }
});
const zone = step(fc.constantFrom('in', 'out'), (world, state) => {
  world.setState('zone', 'z1', state);
});
const plan = step(
  fc.tuple(fc.constantFrom('racks', 'zone'), fc.constantFrom('running', 'paused', 'aborted')),
  (world, [name, state]) => {
    world.setState('plan', name, state);
  },
);
const operator = step(fc.tuple(instance, fc.boolean(), member), (world, [name, on, index]) => {
  world.handle(index, { type: 'operator-drain', instance: name, on });
});
const demand = step(fc.tuple(fc.constantFrom('a', 'b'), fc.nat(60)), (world, [name, waiting]) => {
  world.members.forEach((_, index) => {
    const work = { pool: name, running: 10, waiting, capacity: 32, instances: 4 };
    world.handle(index, { type: 'demand', demand: work });
  });
});

const steps = fc.array(
  fc.oneof(
    { weight: 6, arbitrary: tick },
    { weight: 8, arbitrary: commit },
    { weight: 6, arbitrary: deliver },
    { weight: 6, arbitrary: drained },
    { weight: 5, arbitrary: booted },
    { weight: 2, arbitrary: failed },
    { weight: 2, arbitrary: owned },
    { weight: 2, arbitrary: lost },
    { weight: 1, arbitrary: zone },
    { weight: 1, arbitrary: plan },
    { weight: 1, arbitrary: operator },
    { weight: 1, arbitrary: demand },
  ),
  { minLength: 40, maxLength: 120 },
);

/** Commits all in-flight transactions, delivers all messages, and ends all drains and outages. */
function settle(world: FleetWorld): void {
  world.deliverLostResponses();
  for (let left = MAX_COMMITS; left > 0 && world.inFlight.length > 0; left -= 1) {
    world.commit(0);
  }
  if (world.inFlight.length > 0) {
    world.violations.push('transactions are retried in an endless loop');
  }
  for (const name of INSTANCES) {
    world.finishDrain(name);
    world.bootUp(name);
  }
  world.members.forEach((_, index) => {
    world.deliver(index);
  });
  world.tick(5_000);
}

/** Stops losing responses, resumes zone and plans, and withdraws operator drains. */
function clearDisturbances(world: FleetWorld): void {
  world.loseNextResponse = false;
  world.setState('zone', 'z1', 'in');
  world.setState('plan', 'racks', 'running');
  world.setState('plan', 'zone', 'running');
  for (const name of INSTANCES) {
    world.members.forEach((_, index) => {
      world.handle(index, { type: 'operator-drain', instance: name, on: false });
    });
  }
}

function isQuiescent(world: FleetWorld): boolean {
  const plansEnded = ['racks', 'zone'].every((name) => {
    const row = world.rows.get(`plan-state/${name}`);
    return row?.kind === 'plan-state' && row.value?.remaining.length === 0;
  });
  return plansEnded && POOLS.every((name) => world.budget(name).taken.length === 0);
}

/** Rows and wait reasons that show which work is unfinished; empty if there is none. */
function unfinishedWork(world: FleetWorld): readonly unknown[] {
  if (isQuiescent(world)) {
    return [];
  }
  const rows = [...world.rows.values()].map((row) => JSON.stringify(row));
  const waits = world.members.flatMap(({ decider }) =>
    ['racks', 'zone'].map((name) => JSON.stringify(decider.why('plan', name))),
  );
  return [...rows, ...waits];
}

function poolMembershipErrors(world: FleetWorld): readonly string[] {
  const pools = world.cfg.list('instance').map(({ name, spec }) => `${name} in ${spec.pool}`);
  const names = new Set(world.cfg.list('instance').map(({ name }) => name));
  return pools.length === INSTANCES.length && names.size === INSTANCES.length ? [] : pools;
}

// Guards against exceeded budgets, lost pool membership, work in a zone that is out and stuck plans
// when rows are stale, responses are lost, or a former owner continues after a takeover.
test(
  'budgets, pool membership and zone drains hold under any interleaving, and plans end',
  () => {
    fc.assert(
      fc.property(steps, (chosen) => {
        const world = new FleetWorld(smallFleet(), MEMBERS);
        for (const run of chosen) {
          run(world);
        }
        clearDisturbances(world);
        for (let count = 0; count < FINAL_TICKS && !isQuiescent(world); count += 1) {
          settle(world);
        }
        expect(world.violations).toEqual([]);
        expect(poolMembershipErrors(world)).toEqual([]);
        expect(unfinishedWork(world)).toEqual([]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  },
  TIMEOUT_MS,
);
