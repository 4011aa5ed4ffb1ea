import type { Millis, ZoneName } from '../types/index.js';
import { AvailabilityBudgets, evictableRun, type BlockedStep } from './availability-budgets.js';
import type { CellTables } from './cell-tables.js';
import { Displacement } from './displacement.js';
import { usesSlot, wait, type NextAction, type WaitingInstance } from './maintenance-action.js';
import { MaintenanceOrders } from './maintenance-orders.js';
import { deferrableUntil } from './maintenance-window.js';
import type {
  PoolInstance,
  InstanceOrder,
  InstanceOrderOutcome,
  JobDecision,
  MaintenanceWave,
} from './messages.js';
import type { ExecutorId } from './model.js';
import type { OrderHandover } from './order-handover.js';
import { PoolActivity } from './pool-activity.js';
import type { RunReconciler } from './run-reconciler.js';

/** Time that finite tasks get to end before their instance is maintained regardless. */
const DRAIN_TIMEOUT_MS: Millis = 3_000;

export interface MaintenanceDependencies extends CellTables {
  readonly reconciler: RunReconciler;
}

interface WaveState {
  readonly wave: MaintenanceWave;
  readonly begun: Set<string>;
  /** Monotonic time at which each instance was cordoned. */
  readonly cordonedAt: Map<string, Millis>;
  completed: boolean;
  /** Time until which instances of busy pools are left for later, as of the present plan. */
  deferrableUntil: Millis;
}

/**
 * Carries out maintenance waves: cordons instances, drains their finite tasks and orders the
 * maintenance, within the disruption budgets of lasting steps and the wave's `maxParallel`. While
 * the wave's duration allows, instances of pools in a peak are left for later.
 */
export class MaintenancePlanner {
  readonly #dependencies: MaintenanceDependencies;
  readonly #handover: OrderHandover;
  readonly #waves = new Map<number, WaveState>();
  #instances = new Map<string, PoolInstance>();
  /** Names of the instances by the executor that runs on them. */
  #instanceOf = new Map<ExecutorId, string>();
  /** When the latest list of instances was requested. */
  #listRequestedAt: Millis = -Infinity;
  readonly #orders = new MaintenanceOrders();
  /** Time of the accepted order for instances that have not been listed as up since. */
  readonly #downSince = new Map<string, Millis>();
  readonly #activity: PoolActivity;
  readonly #budgets: AvailabilityBudgets;
  readonly #displacement: Displacement;
  #zonesOut: ReadonlySet<ZoneName> = new Set();
  /** Instances that can't be maintained yet, for the log. */
  #waiting: readonly WaitingInstance[] = [];

  constructor(parts: MaintenanceDependencies, handover: OrderHandover) {
    this.#dependencies = parts;
    this.#handover = handover;
    this.#activity = new PoolActivity(parts);
    this.#displacement = new Displacement(parts);
    this.#budgets = new AvailabilityBudgets(parts, (executor, now) =>
      this.#isHealthy(executor, now),
    );
  }

  get active(): boolean {
    return [...this.#waves.values()].some(({ completed }) => !completed);
  }

  get waiting(): readonly WaitingInstance[] {
    return this.#waiting;
  }

  /** Whether an instance is cordoned for maintenance, ordered into it or down for it. */
  isReserved(instance: string): boolean {
    return (
      this.#orders.has(instance) ||
      this.#downSince.has(instance) ||
      [...this.#waves.values()].some(({ cordonedAt }) => cordonedAt.has(instance))
    );
  }

  /** Whether an instance is in an unfinished wave and its maintenance has not begun. */
  isDue(instance: string): boolean {
    return [...this.#waves.values()].some(
      ({ wave, begun, completed }) =>
        !completed && !begun.has(instance) && wave.instances.includes(instance),
    );
  }

  /** The executor that ran on an instance when the order to maintain it was sent. */
  orderedExecutor(instance: string): ExecutorId | undefined {
    return this.#orders.executorOf(instance);
  }

  /** `requestedAt`: when the list was requested; if before an order, the list does not show it. */
  setInstances(instances: readonly PoolInstance[], requestedAt: Millis): void {
    this.#listRequestedAt = requestedAt;
    this.#instances = new Map(instances.map((one) => [one.name, one]));
    this.#instanceOf = new Map(
      instances.flatMap(({ name, executor }) => (executor === undefined ? [] : [[executor, name]])),
    );
    this.#orders.settleMissing((name) => this.#instances.has(name), requestedAt);
    for (const [name, orderedAt] of [...this.#downSince]) {
      const state = this.#instances.get(name)?.state;
      if (requestedAt > orderedAt && (state === 'up' || state === undefined)) {
        this.#downSince.delete(name);
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
          deferrableUntil: -Infinity,
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
      this.#orders.settled(order.instance);
      wave.begun.add(order.instance);
      wave.cordonedAt.delete(order.instance);
      if (outcome === 'done') {
        this.#downSince.set(order.instance, now);
      } else {
        this.#uncordon(order.instance);
      }
      return [this.#status(wave)];
    }
    if (outcome === 'unknown') {
      this.#orders.unanswered(order.instance, now);
    } else if (outcome === 'busy' || !this.#orders.notSent(order.instance, now)) {
      this.#release(wave, order.instance);
    }
    return [];
  }

  plan(zonesOut: ReadonlySet<ZoneName>, now: Millis): readonly JobDecision[] {
    this.#zonesOut = zonesOut;
    if (this.#handover.holdsAll(now) || this.#instances.size === 0) {
      return [];
    }
    const waiting: WaitingInstance[] = [];
    this.#activity.beginRound();
    const decisions = [...this.#waves.values()]
      .filter(({ completed }) => !completed)
      .flatMap((wave) => this.#planWave(wave, now, waiting));
    this.#waiting = waiting;
    return decisions;
  }

  #planWave(wave: WaveState, now: Millis, waiting: WaitingInstance[]): readonly JobDecision[] {
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
        this.#dependencies.executors.update(executor, { maintenanceDue: true });
      }
    }
    wave.deferrableUntil = deferrableUntil(wave.wave, remaining.length);
    const decisions: JobDecision[] = [];
    let slots = wave.wave.maxParallel - this.#inFlightCount(wave, now);
    for (const name of this.#inDrainOrder(wave, remaining)) {
      // Counted as in flight already. If it waited for another slot, as many unanswered orders as
      // the wave has slots would never be repeated.
      const ordered = this.#orders.has(name);
      if (slots <= 0 && !ordered) {
        continue;
      }
      const action = this.#nextAction(wave, name, now);
      if (action.type === 'order') {
        decisions.push({ type: 'order', order: action.order });
      } else if (action.type === 'wait') {
        waiting.push(action.waiting);
      }
      if (action.type === 'stop') {
        this.#dependencies.reconciler.stop(action.run, 'instance to be maintained', now);
      }
      slots -= !ordered && usesSlot(action) ? 1 : 0;
    }
    return decisions;
  }

  /** Decides what to do next with an instance that remains to be maintained. */
  #nextAction(wave: WaveState, name: string, now: Millis): NextAction {
    const ordered = this.#orders.has(name);
    if (ordered && !this.#orders.isRepeatable(name, now)) {
      return wait({ instance: name, reason: 'order-unanswered' }, false);
    }
    const instance = this.#instances.get(name);
    if (instance?.state !== 'up') {
      // Nothing runs there. An order that may have taken effect is repeated, to learn its outcome.
      return ordered
        ? this.#order(wave, name, this.#orders.executorOf(name))
        : wait({ instance: name, reason: 'not-up' }, false);
    }
    if (this.#handover.isHeld(name, now)) {
      // Already counted as in flight.
      return wait({ instance: name, reason: 'order-handover' }, false);
    }
    if (this.#isDeferred(wave, instance, now)) {
      return wait({ instance: name, reason: 'peak' }, false);
    }
    const { executor } = instance;
    if (executor !== undefined && this.#dependencies.executors.get(executor)?.runsKnown !== true) {
      return wait({ instance: name, reason: 'executor-unseen' }, false);
    }
    const runs = executor === undefined ? [] : this.#dependencies.runs.at(executor);
    const blocked = this.#budgets.blockedStep(runs, now);
    if (blocked !== undefined) {
      return this.#drainBlocked(wave, instance, blocked, now);
    }
    const cordonedAt = this.#cordon(wave, instance, now);
    const finite = runs.some(({ lasting }) => !lasting);
    if (finite && now - cordonedAt < DRAIN_TIMEOUT_MS) {
      return wait({ instance: name, reason: 'finite-tasks' }, true);
    }
    return this.#order(wave, name, executor);
  }

  /**
   * Decides about an instance of which a budget does not allow the maintenance. Tasks of the step are
   * stopped one by one to restart elsewhere, so they must have room there. A cordon that strands tasks
   * is lifted: they may have room only on this instance, and the pool on no other one.
   */
  #drainBlocked(
    wave: WaveState,
    instance: PoolInstance,
    blocked: BlockedStep,
    now: Millis,
  ): NextAction {
    const { name } = instance;
    if (this.#orders.isWithoutEffect(instance, this.#listRequestedAt)) {
      this.#release(wave, name);
    }
    const evicted = evictableRun(blocked);
    const noRoom =
      evicted !== undefined && !this.#displacement.hasRoom(evicted, this.#zonesOut, now);
    const reason = noRoom ? 'no-room' : 'budget';
    const cordonedAt = wave.cordonedAt.get(name);
    const keepsServing =
      cordonedAt === undefined
        ? evicted === undefined || noRoom
        : now - cordonedAt >= DRAIN_TIMEOUT_MS &&
          !this.#orders.has(name) &&
          (noRoom || this.#isStranded(blocked, now));
    if (keepsServing) {
      if (cordonedAt !== undefined) {
        this.#release(wave, name);
      }
      return wait({ instance: name, reason, step: blocked.step }, false);
    }
    this.#cordon(wave, instance, now);
    return evicted === undefined || noRoom
      ? wait({ instance: name, reason, step: blocked.step }, true)
      : { type: 'stop', run: evicted };
  }

  #isStranded({ runs: [run] }: BlockedStep, now: Millis): boolean {
    return run !== undefined && this.#displacement.isStranded(run.task, this.#zonesOut, now);
  }

  /** Returns when the instance was cordoned. */
  #cordon(wave: WaveState, { name, executor }: PoolInstance, now: Millis): Millis {
    if (executor !== undefined) {
      this.#dependencies.executors.update(executor, { cordoned: true });
    }
    const cordonedAt = wave.cordonedAt.get(name) ?? now;
    wave.cordonedAt.set(name, cordonedAt);
    return cordonedAt;
  }

  /** Whether an instance is left for later, as its pool is in a peak. One that drains goes on. */
  #isDeferred(wave: WaveState, { name, pool }: PoolInstance, now: Millis): boolean {
    return (
      now < wave.deferrableUntil && !wave.cordonedAt.has(name) && this.#activity.isBusy(pool, now)
    );
  }

  #order({ wave }: WaveState, instance: string, executor: ExecutorId | undefined): NextAction {
    this.#orders.sent(instance, executor);
    return { type: 'order', order: { type: 'maintain', instance, wave: wave.number } };
  }

  /** Cordoned instances first, then those with the fewest runs. */
  #inDrainOrder(wave: WaveState, names: readonly string[]): readonly string[] {
    const runsAt = (name: string): number => {
      const executor = this.#instances.get(name)?.executor;
      return executor === undefined ? 0 : this.#dependencies.runs.countAt(executor);
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

  /** Number of the wave's instances that are or may be down, also by order of an earlier owner. */
  #inFlightCount({ wave }: WaveState, now: Millis): number {
    const down = (name: string): boolean =>
      this.#handover.isHeld(name, now) ||
      this.#downSince.has(name) ||
      this.#orders.has(name) ||
      this.#instances.get(name)?.state === 'maintenance';
    return wave.instances.filter(down).length;
  }

  /** Whether the executor is responsive and no order that ends it is or may be on its way. */
  #isHealthy(executor: ExecutorId, now: Millis): boolean {
    const state = this.#dependencies.executors.get(executor);
    return (
      state !== undefined &&
      !state.shutdownPending &&
      !this.#orders.mayEnd(executor) &&
      !this.#handover.isHeld(this.#instanceOf.get(executor) ?? '', now) &&
      this.#dependencies.executors.isResponsive(state, now)
    );
  }

  /** An order has had no effect: the instance serves until it is drained again. */
  #release(wave: WaveState, name: string): void {
    this.#orders.settled(name);
    wave.cordonedAt.delete(name);
    this.#uncordon(name);
  }

  #uncordon(name: string): void {
    const executor = this.#instances.get(name)?.executor;
    if (executor !== undefined) {
      this.#dependencies.executors.update(executor, { cordoned: false });
    }
  }

  #status(wave: WaveState): JobDecision {
    return {
      type: 'wave-status',
      wave: wave.wave.number,
      state: wave.completed ? 'completed' : 'running',
      begun: [...wave.begun],
    };
  }
}
