import {
  ManualClock,
  type AcceptedJob,
  type EndedRun,
  type JobDecider,
  type JobDecision,
  type JobEvent,
  type Millis,
} from '@turmerichoist/core';
import { newDecider } from './decider-simulation.js';
import { BASE_STEP, executorsOf, poolName } from './workload.js';

const MICROS_PER_MS = 1_000;
const EXECUTORS = 60;
const ENDS = 400;
const LEASE_MS: Millis = 1e9;
const FLEET = {
  pools: 1,
  executorsPerPool: EXECUTORS,
  lastingStepsPerPool: 0,
  smallJobsPerS: 0,
  largeJobsPerS: 0,
};

type Start = Extract<JobDecision, { type: 'start' }>;

/** Cost of the events of one ended task in a full pool. */
export interface BacklogTime {
  readonly openJobs: number;
  /** Ends that are handled before the round that they make due. */
  readonly endsPerRound: number;
  /** Processor time of a start answer, a report with one end, and their part of a round. */
  readonly microsPerEnd: number;
}

/** Measures a decider whose pool is full and has a number of jobs that wait. */
export function measureBacklog(
  openJobs: number,
  endsPerRound: number,
  cpuMillis: () => Millis,
): BacklogTime {
  const pool = new FullPool(openJobs);
  const startedAt = cpuMillis();
  for (let n = 0; n < ENDS; n += 1) {
    pool.end();
    if (n % endsPerRound === endsPerRound - 1) {
      pool.runDueRound();
    }
  }
  const spentMs = cpuMillis() - startedAt;
  return { openJobs, endsPerRound, microsPerEnd: (spentMs * MICROS_PER_MS) / ENDS };
}

class FullPool {
  readonly #clock = new ManualClock();
  readonly #decider: JobDecider = newDecider(this.#clock);
  readonly #starts: Start[] = [];
  readonly #endSeqs = new Map<string, number>();

  constructor(openJobs: number) {
    const executors = executorsOf(FLEET);
    this.#handle({ type: 'executors', executors });
    executors.forEach(({ id }) => {
      this.#report(id, []);
    });
    const filling = executors.map((_, n) => waitingJob(n));
    const waiting = Array.from({ length: openJobs }, (_, n) => waitingJob(EXECUTORS + n));
    const jobs = [...filling, ...waiting].map((accepted) => ({ accepted }));
    this.#handle({ type: 'jobs', jobs, adopted: false });
    this.runDueRound();
  }

  /** Handles the answer to the oldest start and the report that its task has ended. */
  end(): void {
    const start = this.#starts.shift();
    if (start === undefined) {
      throw new Error('no task runs');
    }
    const { executor, task, attempt } = start;
    this.#handle({ type: 'start-answer', task, attempt, executor, outcome: 'started' });
    const seq = (this.#endSeqs.get(executor) ?? 0) + 1;
    this.#endSeqs.set(executor, seq);
    this.#report(executor, [{ seq, task, attempt, reason: 'done', checkpoint: '' }]);
  }

  runDueRound(): void {
    if (this.#decider.needsRound(this.#clock.now())) {
      this.#handle({ type: 'schedule' });
    }
  }

  #report(executor: string, ended: readonly EndedRun[]): void {
    const now = this.#clock.now();
    const report = { executor, startedWallMs: 1, sentAt: now, running: [], ended };
    this.#handle({ type: 'report', leaseEndsAt: now + LEASE_MS, report });
  }

  #handle(event: JobEvent): void {
    this.#clock.advance(1);
    const decisions = this.#decider.handle(event, this.#clock.now());
    this.#starts.push(...decisions.filter((one): one is Start => one.type === 'start'));
  }
}

function waitingJob(n: number): AcceptedJob {
  const first = { ...BASE_STEP, resources: { processors: 4, memoryMb: 100, accelerators: 0 } };
  return {
    id: `job-${n}`,
    queue: 'small',
    team: 'team',
    acceptedWallMs: 0,
    policy: {
      pool: poolName(0),
      priority: 0,
      maxAttempts: 3,
      slackFactor: 2,
      targetLatencyMs: 1_000,
      ticketed: false,
    },
    spec: {
      payload: '',
      steps: [first, { ...first, after: [0] }],
      occurrences: 1,
      firstAtWallMs: 0,
      intervalMs: 0,
    },
  };
}
