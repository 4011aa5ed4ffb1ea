import {
  UNCONSTRAINED_STEP,
  SeededRandom,
  type AcceptedJob,
  type ExecutorInfo,
  type Millis,
  type QueuePolicy,
  type Resources,
  type StepSpec,
} from '@turmerichoist/core';

/** Size of the simulated fleet and rate of its jobs. */
export interface FleetSize {
  readonly pools: number;
  readonly executorsPerPool: number;
  readonly lastingStepsPerPool: number;
  /** Mean number of jobs a second of each pool's queue of small jobs. */
  readonly smallJobsPerS: number;
  /** Mean number of jobs a second of each pool's queue of large jobs. */
  readonly largeJobsPerS: number;
}

/** 250 executors, up to about 110 jobs and 1,400 task starts a second. */
export const GROWN_FLEET: FleetSize = {
  pools: 5,
  executorsPerPool: 50,
  lastingStepsPerPool: 12,
  smallJobsPerS: 12,
  largeJobsPerS: 1,
};

/** The queues of one pool at a time get `PEAK_FACTOR` times their mean rate, for this long. */
export const PEAK_MS: Millis = 4_000;
const PEAK_FACTOR = 5;

const ZONES = 3;
const RACKS = 5;
const EXECUTOR_CAPACITY: Resources = { processors: 32, memoryMb: 128_000, accelerators: 0 };
const LASTING_TASKS = 24;
const TASKS_PER_STEP = 8;
/** Probability that a small job has a second step, which makes 1.6 steps on average. */
const SECOND_STEP = 0.6;

type QueueKind = 'small' | 'large';

const RESOURCES: Readonly<Record<QueueKind, Resources>> = {
  small: { processors: 2.8, memoryMb: 2_000, accelerators: 0 },
  large: { processors: 6, memoryMb: 6_000, accelerators: 0 },
};
const DURATION_MS: Readonly<Record<QueueKind, Millis>> = { small: 640, large: 1_300 };

export const BASE_STEP: StepSpec = {
  taskCount: TASKS_PER_STEP,
  resources: RESOURCES.small,
  estimateMs: DURATION_MS.small,
  ...UNCONSTRAINED_STEP,
};

export function poolName(index: number): string {
  return `pool-${index}`;
}

export function executorsOf({ pools, executorsPerPool }: FleetSize): readonly ExecutorInfo[] {
  return Array.from({ length: pools * executorsPerPool }, (_, index) => ({
    id: `executor-${index}`,
    startedWallMs: 1,
    address: `127.0.0.1:${index}`,
    pool: poolName(index % pools),
    zone: `zone-${index % ZONES}`,
    rack: `rack-${index % RACKS}`,
    labels: [],
    capacity: EXECUTOR_CAPACITY,
    draining: false,
  }));
}

/** Draws the jobs of a simulated fleet. */
export class Workload {
  readonly #size: FleetSize;
  readonly #random: SeededRandom;
  #jobs = 0;

  constructor(size: FleetSize, seed: number) {
    this.#size = size;
    this.#random = new SeededRandom(seed);
  }

  /** Jobs with one lasting step each. Every fourth one is best effort. */
  lastingJobs(): readonly AcceptedJob[] {
    const { pools, lastingStepsPerPool } = this.#size;
    return Array.from({ length: pools * lastingStepsPerPool }, (_, index) => {
      const fills = index % 4 === 3;
      return this.#job(index % pools, 'lasting', 0, [
        {
          ...BASE_STEP,
          taskCount: LASTING_TASKS,
          resources: { processors: 1, memoryMb: 4_000, accelerators: 0 },
          maxPerExecutor: 2,
          lasting: true,
          image: `image-${index}`,
          targetMs: fills ? 0 : 100,
          fills,
          maxUnavailable: 2,
        },
      ]);
    });
  }

  /** Jobs that arrive within `stepMs` from `now`. */
  arrivals(now: Millis, stepMs: Millis): readonly AcceptedJob[] {
    const { pools, smallJobsPerS, largeJobsPerS } = this.#size;
    const jobs: AcceptedJob[] = [];
    for (let pool = 0; pool < pools; pool += 1) {
      const smallPeaks = Math.floor(now / PEAK_MS) % pools === pool;
      const largePeaks = Math.floor(now / PEAK_MS + 1) % pools === pool;
      const rates = { small: smallJobsPerS, large: largeJobsPerS };
      const peaks = { small: smallPeaks, large: largePeaks };
      for (const kind of ['small', 'large'] as const) {
        const perStep = ((rates[kind] * stepMs) / 1_000) * (peaks[kind] ? PEAK_FACTOR : 1);
        if (this.#random.next() < perStep) {
          jobs.push(this.#finiteJob(pool, kind, now));
        }
      }
    }
    return jobs;
  }

  /** Actual duration of a task: 80 to 120% of the declared one. */
  durationMs({ lasting, estimateMs }: StepSpec): Millis {
    return lasting ? Infinity : Math.round(estimateMs * (0.8 + 0.4 * this.#random.next()));
  }

  #finiteJob(pool: number, kind: QueueKind, now: Millis): AcceptedJob {
    const first = { ...BASE_STEP, resources: RESOURCES[kind], estimateMs: DURATION_MS[kind] };
    const second = { ...first, after: [0] };
    const two = kind === 'large' || this.#random.next() < SECOND_STEP;
    return this.#job(pool, kind, now, two ? [first, second] : [first]);
  }

  #job(
    pool: number,
    kind: QueueKind | 'lasting',
    acceptedWallMs: Millis,
    steps: readonly StepSpec[],
  ): AcceptedJob {
    this.#jobs += 1;
    const policy: QueuePolicy = {
      pool: poolName(pool),
      priority: kind === 'large' ? 1 : 0,
      maxAttempts: 3,
      slackFactor: 2,
      targetLatencyMs: 1_000,
      ticketed: false,
    };
    return {
      id: `job-${this.#jobs}`,
      queue: `${poolName(pool)}-${kind}`,
      team: `team-${this.#jobs % 8}`,
      acceptedWallMs,
      policy,
      spec: { payload: '', steps, occurrences: 1, firstAtWallMs: 0, intervalMs: 0 },
    };
  }
}
