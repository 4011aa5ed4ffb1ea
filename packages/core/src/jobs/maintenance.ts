import type { Millis } from '../types/index.js';
import type { ExecutorTable } from './executor-table.js';
import type { JobTable } from './job-table.js';
import type {
  PoolInstance,
  InstanceOrder,
  InstanceOrderOutcome,
  JobDecision,
  MaintenanceWave,
} from './messages.js';
import type { ExecutorId } from './model.js';
import type { Run, RunTable } from './run-table.js';

/** Finite tasks get this long to end before their instance is maintained all the same. */
const DRAIN_PATIENCE_MS: Millis = 3_000;
/** Pause before an order that was refused or not answered is sent again. */
const ORDER_RETRY_MS: Millis = 500;

export interface MaintenanceParts {
  readonly jobs: JobTable;
  readonly runs: RunTable;
  readonly executors: ExecutorTable;
}

interface Wave {
  readonly wave: MaintenanceWave;
  readonly begun: Set<string>;
  /** Own clock at which an instance was cordoned. */
  readonly cordonedAt: Map<string, Millis>;
  completed: boolean;
}

/**
 * Carries out maintenance waves: cordons instances, waits for their finite tasks, keeps the budgets
 * of lasting tasks and the wave's bound, and orders the maintenance.
 */
export class MaintenancePlanner {
  readonly #parts: MaintenanceParts;
  /** Orders of this owner may be sent from here on; those of an earlier owner have lapsed. */
  readonly #ordersFrom: Millis;
  readonly #waves = new Map<number, Wave>();
  #instances = new Map<string, PoolInstance>();
  /** Instances with an order on its way, or whose outcome is unknown. */
  readonly #pending = new Map<string, Millis>();
  /** Instances that were ordered down and have not been listed as up since. */
  readonly #down = new Set<string>();

  constructor(parts: MaintenanceParts, ordersFrom: Millis) {
    this.#parts = parts;
    this.#ordersFrom = ordersFrom;
  }

  get active(): boolean {
    return [...this.#waves.values()].some(({ completed }) => !completed);
  }

  setInstances(instances: readonly PoolInstance[]): void {
    this.#instances = new Map(instances.map((one) => [one.name, one]));
    for (const name of [...this.#down]) {
      const state = this.#instances.get(name)?.state;
      if ((state === 'up' || state === undefined) && !this.#pending.has(name)) {
        this.#down.delete(name);
      }
    }
  }

  setWaves(waves: readonly MaintenanceWave[]): void {
    for (const wave of waves) {
      if (!this.#waves.has(wave.number)) {
        this.#waves.set(wave.number, {
          wave,
          begun: new Set(wave.begun),
          cordonedAt: new Map(),
          completed: wave.completed,
        });
      }
    }
  }

  answered(
    order: InstanceOrder,
    outcome: InstanceOrderOutcome,
    now: Millis,
  ): readonly JobDecision[] {
    if (order.type !== 'maintain') {
      return [];
    }
    const wave = this.#waves.get(order.wave);
    if (wave === undefined) {
      return [];
    }
    if (outcome === 'done' || outcome === 'impossible') {
      this.#pending.delete(order.instance);
      wave.begun.add(order.instance);
      wave.cordonedAt.delete(order.instance);
      if (outcome === 'done') {
        this.#down.add(order.instance);
      } else {
        this.#uncordon(order.instance);
      }
      return [this.#status(wave)];
    }
    this.#pending.set(order.instance, now + ORDER_RETRY_MS);
    if (outcome === 'busy') {
      this.#pending.delete(order.instance);
      wave.cordonedAt.delete(order.instance);
      this.#uncordon(order.instance);
    }
    return [];
  }

  plan(now: Millis): readonly JobDecision[] {
    if (now < this.#ordersFrom || this.#instances.size === 0) {
      return [];
    }
    return [...this.#waves.values()]
      .filter(({ completed }) => !completed)
      .flatMap((wave) => this.#planWave(wave, now));
  }

  #planWave(wave: Wave, now: Millis): readonly JobDecision[] {
    const remaining = wave.wave.instances.filter(
      (name) => !wave.begun.has(name) && this.#instances.has(name),
    );
    if (remaining.length === 0) {
      wave.completed = true;
      return [this.#status(wave)];
    }
    const decisions: JobDecision[] = [];
    let slots = wave.wave.maxParallel - this.#inFlight(wave);
    for (const name of this.#byReadiness(wave, remaining)) {
      if (slots <= 0) {
        break;
      }
      if (this.#advance(wave, name, now, decisions)) {
        slots -= 1;
      }
    }
    return decisions;
  }

  /** Takes one step with an instance; returns whether it uses a slot of the wave. */
  #advance(wave: Wave, name: string, now: Millis, decisions: JobDecision[]): boolean {
    const retryAt = this.#pending.get(name);
    if (retryAt !== undefined && (retryAt > now || retryAt === 0)) {
      // Counted as in flight already.
      return false;
    }
    const instance = this.#instances.get(name);
    if (instance?.state !== 'up' && retryAt === undefined) {
      return false;
    }
    const executor = instance?.executor;
    const runs = executor === undefined ? [] : this.#parts.runs.at(executor);
    if (retryAt === undefined && !this.#budgetsAllow(runs)) {
      return false;
    }
    if (executor !== undefined) {
      this.#parts.executors.update(executor, { cordoned: true });
    }
    const cordonedAt = wave.cordonedAt.get(name) ?? now;
    wave.cordonedAt.set(name, cordonedAt);
    const finite = runs.filter(({ lasting }) => !lasting);
    if (finite.length > 0 && now - cordonedAt < DRAIN_PATIENCE_MS) {
      return true;
    }
    this.#pending.set(name, 0);
    const order = { type: 'maintain', instance: name, wave: wave.wave.number } as const;
    decisions.push({ type: 'order', order });
    return true;
  }

  /** Instances under way first, then those with the fewest runs. */
  #byReadiness(wave: Wave, names: readonly string[]): readonly string[] {
    const runsAt = (name: string): number => {
      const executor = this.#instances.get(name)?.executor;
      return executor === undefined ? 0 : this.#parts.runs.at(executor).length;
    };
    return names
      .map((name) => ({
        name,
        cordoned: wave.cordonedAt.has(name) ? 0 : 1,
        runs: runsAt(name),
      }))
      .sort((a, b) => a.cordoned - b.cordoned || a.runs - b.runs)
      .map(({ name }) => name);
  }

  #inFlight(wave: Wave): number {
    return wave.wave.instances.filter((name) => this.#down.has(name) || this.#pending.has(name))
      .length;
  }

  /** Whether the lasting tasks among these runs may all become unavailable at once. */
  #budgetsAllow(runs: readonly Run[]): boolean {
    const counts = new Map<string, { readonly run: Run; readonly count: number }>();
    for (const run of runs) {
      if (run.lasting && isAtWork(run)) {
        const { jobId, occurrence, step } = run.task;
        const key = `${jobId}.${occurrence}.${step}`;
        counts.set(key, { run, count: (counts.get(key)?.count ?? 0) + 1 });
      }
    }
    const leaving = new Set(runs.map(({ executor }) => executor));
    return [...counts.values()].every(({ run, count }) => {
      const step = this.#parts.jobs.step(run.task);
      if (step === undefined) {
        return true;
      }
      const away = this.#awayElsewhere(run, step.spec.taskCount, leaving);
      return away + count <= Math.max(1, step.spec.maxUnavailable);
    });
  }

  /** Tasks of the run's step that are not at work, those on the given executors left out. */
  #awayElsewhere(run: Run, taskCount: number, leaving: ReadonlySet<ExecutorId>): number {
    const { occurrence, step } = run.task;
    const siblings = this.#parts.runs
      .ofJob(run.task.jobId)
      .filter(({ task }) => task.occurrence === occurrence && task.step === step);
    const here = siblings.filter(({ executor }) => leaving.has(executor)).length;
    const sound = siblings.filter(
      (one) => !leaving.has(one.executor) && isAtWork(one) && !this.#isOrdered(one.executor),
    ).length;
    return taskCount - here - sound;
  }

  #isOrdered(executor: ExecutorId): boolean {
    for (const name of this.#pending.keys()) {
      if (this.#instances.get(name)?.executor === executor) {
        return true;
      }
    }
    return false;
  }

  #uncordon(name: string): void {
    const executor = this.#instances.get(name)?.executor;
    if (executor !== undefined) {
      this.#parts.executors.update(executor, { cordoned: false });
    }
  }

  #status(wave: Wave): JobDecision {
    return {
      type: 'wave-status',
      wave: wave.wave.number,
      state: wave.completed ? 'completed' : 'running',
      begun: [...wave.begun],
    };
  }
}

const AT_WORK_PERCENT = 100;

function isAtWork(run: Run): boolean {
  return run.phase === 'running' && run.percent >= AT_WORK_PERCENT;
}
