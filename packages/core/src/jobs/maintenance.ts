import type { Millis } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type {
  PoolInstance,
  InstanceOrder,
  InstanceOrderOutcome,
  JobDecision,
  MaintenanceWave,
} from './messages.js';
import type { ExecutorId } from './model.js';
import type { RunBook } from './run-book.js';
import type { Run } from './run-table.js';

/** Finite tasks get this long to end before their instance is maintained all the same. */
const DRAIN_PATIENCE_MS: Millis = 3_000;
/** Pause before an order that was refused or not answered is sent again. */
const ORDER_RETRY_MS: Millis = 500;

export interface MaintenanceParts extends CellTables {
  readonly book: RunBook;
}

interface PendingOrder {
  /** Own clock from which the order may be sent again; Infinity while it is on its way. */
  readonly retryAt: Millis;
  readonly executor: ExecutorId | undefined;
}

/** An instance that can't be maintained yet. */
export interface WaitingInstance {
  readonly instance: string;
  readonly reason: 'not-up' | 'executor-unseen' | 'budget' | 'finite-tasks';
  /** The lasting step whose budget is used up. */
  readonly step?: string;
}

interface BlockedStep {
  readonly step: string;
  /** Its runs on the instance. */
  readonly runs: readonly Run[];
  /** Tasks elsewhere that are not at work. */
  readonly away: number;
  readonly budget: number;
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
  readonly #pending = new Map<string, PendingOrder>();
  /** Instances that were ordered down, with the time, and have not been listed as up since. */
  readonly #down = new Map<string, Millis>();
  /** Why instances wait, for the log. */
  #waiting: readonly WaitingInstance[] = [];

  constructor(parts: MaintenanceParts, ordersFrom: Millis) {
    this.#parts = parts;
    this.#ordersFrom = ordersFrom;
  }

  get active(): boolean {
    return [...this.#waves.values()].some(({ completed }) => !completed);
  }

  get waiting(): readonly WaitingInstance[] {
    return this.#waiting;
  }

  /** Whether an instance is about to be maintained, or is down for it. */
  isReserved(instance: string): boolean {
    return (
      this.#pending.has(instance) ||
      this.#down.has(instance) ||
      [...this.#waves.values()].some(({ cordonedAt }) => cordonedAt.has(instance))
    );
  }

  /** The executor that ran on an instance when it was ordered down. */
  orderedExecutor(instance: string): ExecutorId | undefined {
    return this.#pending.get(instance)?.executor;
  }

  /** `askedAt`: a list that was asked for before an order does not show its effect. */
  setInstances(instances: readonly PoolInstance[], askedAt: Millis): void {
    this.#instances = new Map(instances.map((one) => [one.name, one]));
    for (const [name, orderedAt] of [...this.#down]) {
      const state = this.#instances.get(name)?.state;
      if (askedAt > orderedAt && (state === 'up' || state === undefined)) {
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
        this.#down.set(order.instance, now);
      } else {
        this.#uncordon(order.instance);
      }
      return [this.#status(wave)];
    }
    const executor = this.orderedExecutor(order.instance);
    this.#pending.set(order.instance, { retryAt: now + ORDER_RETRY_MS, executor });
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
    const waiting: WaitingInstance[] = [];
    const decisions = [...this.#waves.values()]
      .filter(({ completed }) => !completed)
      .flatMap((wave) => this.#planWave(wave, now, waiting));
    this.#waiting = waiting;
    return decisions;
  }

  #planWave(wave: Wave, now: Millis, waiting: WaitingInstance[]): readonly JobDecision[] {
    const remaining = wave.wave.instances.filter(
      (name) => !wave.begun.has(name) && this.#instances.has(name),
    );
    if (remaining.length === 0) {
      wave.completed = true;
      return [this.#status(wave)];
    }
    for (const name of remaining) {
      const executor = this.#instances.get(name)?.executor;
      if (executor !== undefined) {
        this.#parts.executors.update(executor, { maintenanceDue: true });
      }
    }
    const decisions: JobDecision[] = [];
    let slots = wave.wave.maxParallel - this.#inFlight(wave);
    for (const name of this.#byReadiness(wave, remaining)) {
      if (slots <= 0) {
        break;
      }
      const step = this.#advance(wave, name, now);
      if (step.type === 'order') {
        decisions.push({ type: 'order', order: step.order });
      } else if (step.type === 'wait') {
        waiting.push(step.waiting);
      }
      if (step.type === 'stop') {
        this.#parts.book.stop(step.run, 'instance to be maintained', now);
      }
      slots -=
        step.type === 'order' || step.type === 'stop' || (step.type === 'wait' && step.usesSlot)
          ? 1
          : 0;
    }
    return decisions;
  }

  /** The next step with an instance. */
  #advance(wave: Wave, name: string, now: Millis): Advance {
    const pending = this.#pending.get(name);
    if (pending !== undefined) {
      // Counted as in flight already; an order without an answer is repeated until it has one.
      return pending.retryAt > now ? { type: 'none' } : this.#order(wave, name, pending.executor);
    }
    const instance = this.#instances.get(name);
    if (instance?.state !== 'up') {
      return wait({ instance: name, reason: 'not-up' }, false);
    }
    const { executor } = instance;
    if (executor !== undefined && this.#parts.executors.get(executor)?.accounted !== true) {
      // What runs there is not known.
      return wait({ instance: name, reason: 'executor-unseen' }, false);
    }
    const runs = executor === undefined ? [] : this.#parts.runs.at(executor);
    const blocked = this.#blockedStep(runs, now);
    const cordoned = wave.cordonedAt.has(name);
    if (blocked !== undefined && !cordoned && this.#expendable(blocked) === undefined) {
      return wait({ instance: name, reason: 'budget', step: blocked.step }, false);
    }
    if (executor !== undefined) {
      this.#parts.executors.update(executor, { cordoned: true });
    }
    const cordonedAt = wave.cordonedAt.get(name) ?? now;
    wave.cordonedAt.set(name, cordonedAt);
    if (blocked !== undefined) {
      const run = this.#expendable(blocked);
      return run === undefined
        ? wait({ instance: name, reason: 'budget', step: blocked.step }, true)
        : { type: 'stop', run };
    }
    const finite = runs.some(({ lasting }) => !lasting);
    if (finite && now - cordonedAt < DRAIN_PATIENCE_MS) {
      return wait({ instance: name, reason: 'finite-tasks' }, true);
    }
    return this.#order(wave, name, executor);
  }

  #order({ wave }: Wave, instance: string, executor: ExecutorId | undefined): Advance {
    this.#pending.set(instance, { retryAt: Infinity, executor });
    return { type: 'order', order: { type: 'maintain', instance, wave: wave.number } };
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

  /** Instances of the wave that are down for it or may be, also by order of an earlier owner. */
  #inFlight({ wave }: Wave): number {
    const down = (name: string): boolean =>
      this.#down.has(name) ||
      this.#pending.has(name) ||
      this.#instances.get(name)?.state === 'maintenance';
    return wave.instances.filter(down).length;
  }

  /** The first lasting step whose budget does not allow that these runs all end at once. */
  #blockedStep(runs: readonly Run[], now: Millis): BlockedStep | undefined {
    const steps = new Map<string, Run[]>();
    for (const run of runs) {
      // What was last seen below full readiness may be at work by now.
      if (run.lasting) {
        const { jobId, occurrence, step } = run.task;
        const key = `${jobId}.${occurrence}.${step}`;
        steps.set(key, [...(steps.get(key) ?? []), run]);
      }
    }
    const leaving = new Set(runs.map(({ executor }) => executor));
    for (const [step, ofStep] of steps) {
      const spec =
        ofStep[0] === undefined ? undefined : this.#parts.jobs.step(ofStep[0].task)?.spec;
      const budget = Math.max(1, spec?.maxUnavailable ?? 1);
      const away = this.#awayElsewhere(ofStep, spec?.taskCount ?? 0, leaving, now);
      if (away + ofStep.length > budget) {
        return { step, runs: ofStep, away, budget };
      }
    }
    return undefined;
  }

  /** One of several tasks of the step that may be stopped, so that it restarts elsewhere. */
  #expendable({ runs, away, budget }: BlockedStep): Run | undefined {
    if (runs.length < 2 || runs.some(({ phase }) => phase === 'stopping')) {
      return undefined;
    }
    const chosen = runs.find((run) => !isAtWork(run)) ?? runs[0];
    const others = runs.filter((run) => run !== chosen && !isAtWork(run)).length;
    return away + others < budget ? chosen : undefined;
  }

  /** Tasks of the runs' step that are not at work, those on the given executors left out. */
  #awayElsewhere(
    runs: readonly Run[],
    taskCount: number,
    leaving: ReadonlySet<ExecutorId>,
    now: Millis,
  ): number {
    const task = runs[0]?.task;
    const siblings = this.#parts.runs
      .ofJob(task?.jobId ?? '')
      .filter((run) => run.task.occurrence === task?.occurrence && run.task.step === task.step);
    const sound = siblings.filter(
      (one) => !leaving.has(one.executor) && isAtWork(one) && this.#isSound(one.executor, now),
    );
    return taskCount - runs.length - sound.length;
  }

  /** Whether the executor answers and its instance has not been ordered down. */
  #isSound(executor: ExecutorId, now: Millis): boolean {
    const state = this.#parts.executors.get(executor);
    const ordered = [...this.#pending.values()].some((order) => order.executor === executor);
    return (
      state !== undefined &&
      !state.ending &&
      !ordered &&
      this.#parts.executors.isResponsive(state, now)
    );
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

type Advance =
  | { readonly type: 'none' }
  | { readonly type: 'order'; readonly order: InstanceOrder }
  /** Stop one lasting task, so that it restarts on another instance. */
  | { readonly type: 'stop'; readonly run: Run }
  | { readonly type: 'wait'; readonly waiting: WaitingInstance; readonly usesSlot: boolean };

function wait(waiting: WaitingInstance, usesSlot: boolean): Advance {
  return { type: 'wait', waiting, usesSlot };
}

const AT_WORK_PERCENT = 100;

function isAtWork(run: Run): boolean {
  return run.phase === 'running' && run.percent >= AT_WORK_PERCENT;
}
