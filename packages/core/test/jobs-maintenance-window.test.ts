import { describe, expect, test } from '@jest/globals';
import {
  deferrableUntil,
  ManualClock,
  type JobDecision,
  type JobEvent,
  type PoolInstance,
  type WaveWindow,
} from '../src/index.js';
import { executor, job, newDecider, POLICY, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against. The load: a wave that is requested
// while one of two pools is in its peak.

const INSTANCES_PER_POOL = 4;
const WAVE_MS = 26_000;
const LONG_TASK = step({
  taskCount: 64,
  estimateMs: 500,
  resources: { processors: 4, memoryMb: 100, accelerators: 0 },
});

/** Two pools of four instances, one of them with more work than it can run at once. */
class TwoPools {
  readonly clock = new ManualClock(10_000);
  readonly decider = newDecider(this.clock);
  readonly #names = ['busy', 'quiet'].flatMap((pool) =>
    Array.from({ length: INSTANCES_PER_POOL }, (_, number) => ({
      pool,
      name: `${pool}-${number}`,
    })),
  );

  constructor(window: WaveWindow | undefined) {
    const executors = this.#names.map(({ pool, name }) => executor(name, { pool }));
    this.handle({ type: 'executors', executors });
    executors.forEach(({ id }) => {
      this.report(id);
    });
    const accepted = { ...job('j', [LONG_TASK]), policy: { ...POLICY, pool: 'busy' } };
    this.handle({ type: 'jobs', jobs: [{ accepted }], adopted: false });
    this.list();
    const instances = this.#names.map(({ name }) => name);
    const wave = { number: 1, instances, maxParallel: 8, begun: [], completed: false };
    this.handle({
      type: 'waves',
      waves: [{ ...wave, ...(window === undefined ? {} : { window }) }],
    });
  }

  handle(event: JobEvent): readonly JobDecision[] {
    return this.decider.handle(event, this.clock.now());
  }

  report(id: string): void {
    const sentAt = this.clock.now();
    const report = { executor: id, startedWallMs: 1, sentAt, running: [], ended: [] };
    this.handle({ type: 'report', leaseEndsAt: sentAt + 60_000, report });
  }

  list(): void {
    const capacity = { processors: 8, memoryMb: 8_000, accelerators: 0 };
    const place = { state: 'up', zone: 'z1', rack: 'r1', capacity } as const;
    const instances: readonly PoolInstance[] = this.#names.map(({ pool, name }) => ({
      ...place,
      pool,
      name,
      executor: name,
    }));
    this.handle({ type: 'instances', instances, requestedAt: this.clock.now() });
  }

  /** Pools whose instances are cordoned or ordered into maintenance within `ms`. */
  drainedPools(ms: number): ReadonlySet<string> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      this.clock.advance(100);
      this.handle({ type: 'tick' });
    }
    const reserved = this.#names.filter(({ name }) => !this.isFree(name));
    return new Set(reserved.map(({ pool }) => pool));
  }

  isFree(name: string): boolean {
    const waiting = this.decider.waitingInstances.find(({ instance }) => instance === name);
    return waiting?.reason === 'peak';
  }
}

describe('a wave with time to spare', () => {
  test('takes instances of a pool in its peak', () => {
    const cell = new TwoPools({ requestedAfter: 10_000, durationMs: WAVE_MS });
    expect(cell.drainedPools(1_000)).toEqual(new Set(['quiet']));
  });

  test('ends late, as the peak of a pool does not end', () => {
    const cell = new TwoPools({ requestedAfter: 10_000, durationMs: WAVE_MS });
    expect(cell.drainedPools(WAVE_MS / 2 + 200)).toEqual(new Set(['busy', 'quiet']));
  });

  test('is deferred although it is not known when it was requested', () => {
    const cell = new TwoPools(undefined);
    expect(cell.drainedPools(200)).toEqual(new Set(['busy', 'quiet']));
  });
});

describe('the time until which instances may be left for later', () => {
  const window = { requestedAfter: 1_000, durationMs: WAVE_MS };

  test('leaves too little time for many instances, a few at once', () => {
    const until = deferrableUntil({ maxParallel: 10, window }, 30);
    expect(until + 3 * 6_000).toBeLessThanOrEqual(1_000 + WAVE_MS);
  });

  test('is past for a wave that can hardly end in time', () => {
    expect(deferrableUntil({ maxParallel: 1, window }, 30)).toBeLessThan(1_000);
  });

  test('grows beyond half of the duration', () => {
    expect(deferrableUntil({ maxParallel: 10, window }, 1)).toBe(1_000 + WAVE_MS / 2);
  });
});
