import {
  ManualClock,
  taskKey,
  type AcceptedJob,
  type EndedRun,
  type JobDecider,
  type JobDecision,
  type JobEvent,
  type JobId,
  type JobProgress,
  type Millis,
  type ReportedRun,
  type Resources,
  type TaskKey,
  type TeamName,
  type TeamPolicy,
} from '../../src/index.js';
import { ActionQueue } from './action-queue.js';
import { executor, newDecider } from './job-fixtures.js';

const POLL_MS: Millis = 200;
const TICK_MS: Millis = 100;
const LEASE_MS: Millis = 4_840;
const TERM_ATTEMPTS = 1_000;

export const NO_CAP: Resources = { processors: 0, memoryMb: 0, accelerators: 0 };

export function teamOf(name: TeamName, weight: number, capProcessors = 0): TeamPolicy {
  return { name, weight, cap: { ...NO_CAP, processors: capProcessors } };
}

interface PoolExecutor {
  readonly id: string;
  readonly runs: Map<TaskKey, ReportedRun>;
  ended: readonly EndedRun[];
  silentUntil: Millis;
  lastSeq: number;
}

/** One pool of equal executors without faults, whose owner may change, on a virtual clock. */
export class SharedPool {
  readonly clock = new ManualClock(10_000);
  readonly completedAt = new Map<JobId, Millis>();
  /** Processors of the submitted tasks that have not ended, by team. */
  readonly demand = new Map<TeamName, number>();
  readonly queue = new ActionQueue(this.clock);
  decider: JobDecider = newDecider(this.clock);
  readonly #teams: readonly TeamPolicy[];
  readonly #executors: readonly PoolExecutor[];
  readonly #processors: number;
  readonly #jobs = new Map<JobId, AcceptedJob>();
  readonly #progress = new Map<JobId, JobProgress>();
  #term = 0;

  constructor(executors: number, processors: number, teams: readonly TeamPolicy[]) {
    this.#teams = teams;
    this.#processors = processors;
    this.#executors = Array.from({ length: executors }, (_, index) => ({
      id: `e${index}`,
      runs: new Map<TaskKey, ReportedRun>(),
      ended: [],
      silentUntil: 0,
      lastSeq: 0,
    }));
    this.#begin();
    this.queue.every(TICK_MS, always, () => {
      this.#handle({ type: 'tick' });
    });
    for (const one of this.#executors) {
      this.queue.every(POLL_MS, always, () => {
        this.#report(one);
      });
    }
  }

  run(forMs: Millis): void {
    this.queue.run(forMs);
  }

  get now(): Millis {
    return this.clock.now();
  }

  submit(accepted: AcceptedJob): void {
    const stored = { ...accepted, acceptedWallMs: this.clock.wall() };
    this.#jobs.set(stored.id, stored);
    stored.spec.steps.forEach(({ taskCount, resources }) => {
      this.#changeDemand(stored.team, taskCount * resources.processors);
    });
    this.#handle({ type: 'jobs', jobs: [{ accepted: stored }], adopted: false });
  }

  /** Loses the reports of an executor for a time; it runs on. */
  silence(id: string, forMs: Millis): void {
    for (const one of this.#executors.filter((other) => other.id === id)) {
      one.silentUntil = this.now + forMs;
    }
  }

  /** A new owner begins with what is stored, and does not know what runs. */
  takeOver(): void {
    this.#term += 1;
    this.decider = newDecider(this.clock, {
      firstAttempt: this.#term * TERM_ATTEMPTS + 1,
      recoveryEndsAt: this.now + LEASE_MS,
    });
    this.#begin();
  }

  /** Processors that run tasks, by team. */
  get usage(): ReadonlyMap<TeamName, number> {
    const usage = new Map<TeamName, number>();
    for (const { runs } of this.#executors) {
      for (const { task } of runs.values()) {
        const accepted = this.#jobs.get(task.jobId);
        const processors = accepted?.spec.steps[task.step]?.resources.processors ?? 0;
        const team = accepted?.team ?? '';
        usage.set(team, (usage.get(team) ?? 0) + processors);
      }
    }
    return usage;
  }

  #begin(): void {
    const teams = new Map(this.#teams.map((team) => [team.name, team]));
    this.#handle({ type: 'config', config: { queues: new Map(), pools: new Map(), teams } });
    const capacity = { processors: this.#processors, memoryMb: 1e6, accelerators: 0 };
    const executors = this.#executors.map(({ id }) => executor(id, { capacity }));
    this.#handle({ type: 'executors', executors });
    const jobs = [...this.#jobs.values()].map((accepted) => {
      const progress = this.#progress.get(accepted.id);
      return { accepted, ...(progress && { progress }) };
    });
    this.#handle({ type: 'jobs', jobs, adopted: true });
  }

  #handle(event: JobEvent): void {
    this.decider.handle(event, this.now).forEach((decision) => {
      this.#carryOut(decision);
    });
  }

  #carryOut(decision: JobDecision): void {
    if (decision.type === 'persist') {
      this.#progress.set(decision.job, decision.progress);
      if (decision.progress.state === 'completed') {
        this.completedAt.set(decision.job, this.now);
      }
    } else if (decision.type === 'acknowledge') {
      const one = this.#executors.find(({ id }) => id === decision.executor);
      if (one !== undefined) {
        one.ended = one.ended.filter(({ seq }) => seq > decision.through);
      }
    } else if (decision.type === 'start') {
      this.#start(decision);
    }
  }

  #start({ executor: id, task, attempt }: Extract<JobDecision, { type: 'start' }>): void {
    const one = this.#executors.find((other) => other.id === id);
    const accepted = this.#jobs.get(task.jobId);
    const spec = accepted?.spec.steps[task.step];
    if (one === undefined || spec === undefined) {
      return;
    }
    const run = { task, attempt, checkpoint: '', percent: 0, gauge: 0 };
    one.runs.set(taskKey(task), run);
    this.queue.after(spec.estimateMs, () => {
      one.runs.delete(taskKey(task));
      this.#changeDemand(accepted?.team ?? '', -spec.resources.processors);
      one.lastSeq += 1;
      const end = { seq: one.lastSeq, task, attempt, reason: 'done', checkpoint: '' } as const;
      one.ended = [...one.ended, end];
      this.#report(one);
    });
  }

  #changeDemand(team: TeamName, by: number): void {
    this.demand.set(team, (this.demand.get(team) ?? 0) + by);
  }

  #report({ id, runs, ended, silentUntil }: PoolExecutor): void {
    const sentAt = this.now;
    if (silentUntil > sentAt) {
      return;
    }
    const running = [...runs.values()];
    const report = { executor: id, startedWallMs: 1, sentAt, running, ended };
    this.#handle({ type: 'report', leaseEndsAt: sentAt + LEASE_MS, report });
  }
}

function always(): boolean {
  return true;
}
