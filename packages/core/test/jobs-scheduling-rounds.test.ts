import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import {
  SeededRandom,
  type AcceptedJob,
  type ExecutorInfo,
  type JobEvent,
  type ZoneName,
} from '../src/index.js';
import { executor, job, POLICY, step } from './support/job-fixtures.js';
import { JobWorld } from './support/job-world.js';

// Each test is named after the failure that it guards against.

const INFOS = Array.from({ length: 6 }, (_, index) =>
  executor(`e${index}`, {
    pool: index < 4 ? 'p1' : 'p2',
    rack: `r${index % 2}`,
    zone: `z${index % 3}`,
    capacity: { processors: 4 + index, memoryMb: 1_500, accelerators: 0 },
  }),
);

/**
 * Repeats the rounds of all pools whenever none is due, as a decider would that doesn't know what
 * has changed, and records the starts that only this repetition brings.
 */
class CheckedWorld {
  readonly world: JobWorld;
  readonly lateStarts: string[] = [];
  readonly #random: SeededRandom;
  #zonesOut: ReadonlySet<ZoneName> = new Set();
  #capProcessors = 5;
  #submitted = 0;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.world = new JobWorld(INFOS, seed);
    this.world.onHandled = (decider, event) => {
      const { now } = this.world;
      if (decider.needsRound(now)) {
        return;
      }
      decider.handle({ type: 'zones-out', zones: this.#zonesOut }, now);
      decider
        .handle({ type: 'schedule' }, now)
        .filter(({ type }) => type === 'start')
        .forEach(() => this.lateStarts.push(`${event.type} at ${this.world.now}`));
    };
    this.configure();
  }

  give(event: JobEvent): void {
    if (this.world.term !== undefined) {
      this.world.deliver(this.world.term, event);
    }
  }

  /** Team t2 has a cap, the others have none. */
  configure(): void {
    const cap = { processors: this.#capProcessors, memoryMb: 0, accelerators: 0 };
    const teams = new Map([['t2', { name: 't2', weight: 1, cap }]]);
    this.give({ type: 'config', config: { queues: new Map(), pools: new Map(), teams } });
  }

  submit(): void {
    this.#submitted += 1;
    this.world.submit(this.#job(`j${this.#submitted}`));
  }

  change(what: string): void {
    switch (what) {
      case 'cancel':
        this.world.cancel(`j${1 + this.#draw(this.#submitted + 1)}`);
        return;
      case 'kill':
        this.world.killOwner();
        return;
      case 'restart':
        this.world.restart(`e${this.#draw(INFOS.length)}`);
        return;
      case 'zones':
        this.#zonesOut = new Set(this.#draw(2) === 0 ? [] : [`z${this.#draw(3)}`]);
        this.give({ type: 'zones-out', zones: this.#zonesOut });
        return;
      case 'cap':
        this.#capProcessors = 2 + this.#draw(8);
        this.configure();
        return;
      case 'drain':
        this.give({ type: 'executors', executors: this.#listed(0.3, 0) });
        return;
      case 'delist':
        this.give({ type: 'executors', executors: this.#listed(0, 0.3) });
        return;
      default:
        this.submit();
    }
  }

  #listed(draining: number, missing: number): readonly ExecutorInfo[] {
    return [...this.world.executors.values()]
      .map(({ info }) => ({ ...info, draining: this.#random.next() < draining }))
      .filter(() => this.#random.next() >= missing);
  }

  #job(id: string): AcceptedJob {
    const gang = this.#draw(6) === 0;
    const first = step({
      taskCount: 1 + this.#draw(6),
      gang,
      sameRack: gang && this.#draw(2) === 0,
      lasting: !gang && this.#draw(6) === 0,
      maxPerExecutor: this.#draw(4) === 0 ? 1 : 0,
      estimateMs: 100 + this.#draw(1_500),
      resources: { processors: 0.7 + 2 * this.#draw(4), memoryMb: 200, accelerators: 0 },
    });
    const base = job(id, [first, step({ after: [0], taskCount: 2 })]);
    const occurrences = first.lasting ? 1 : 1 + this.#draw(3);
    return {
      ...base,
      team: `t${1 + this.#draw(3)}`,
      acceptedWallMs: this.world.clock.wall(),
      policy: { ...POLICY, pool: this.#draw(3) === 0 ? 'p2' : 'p1' },
      spec: { ...base.spec, occurrences, intervalMs: 700 },
    };
  }

  #draw(below: number): number {
    return Math.floor(this.#random.next() * below);
  }
}

const CHANGES = ['cancel', 'kill', 'restart', 'zones', 'cap', 'drain', 'delist'] as const;
const action = fc.record({
  afterMs: fc.integer({ min: 0, max: 600 }),
  what: fc.oneof(
    { weight: 2, arbitrary: fc.constant('submit') },
    { weight: 1, arbitrary: fc.constantFrom(...CHANGES) },
  ),
});

describe('scheduling rounds', () => {
  test('a task that can start waits because nothing has marked its pool', () => {
    fc.assert(
      fc.property(fc.array(action, { maxLength: 25 }), fc.nat(1e6), (actions, seed) => {
        const checked = new CheckedWorld(seed);
        checked.world.faults = { answerLost: 0.05, late: 0.03, runFails: 0.1 };
        for (const { afterMs, what } of actions) {
          checked.world.run(afterMs);
          checked.change(what);
        }
        checked.world.run(8_000);
        expect(checked.lateStarts).toEqual([]);
      }),
      { numRuns: 150, seed: 20261204 },
    );
  });
});
