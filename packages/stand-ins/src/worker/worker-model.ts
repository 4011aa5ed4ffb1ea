import {
  compareFences,
  type Fence,
  type FinishedTask,
  type LeaseOrder,
  type LeaseReply,
  type Millis,
  type OwnerFence,
  type RenewOrder,
  type Resources,
  type RunOutcome,
  type RunningTask,
  type StopMode,
  type TaskId,
  type WorkerReport,
} from '@turmerichoist/core';
import { parseCommand, type CommandBehavior } from './command.js';
import { NO_WORKER_FAULTS, mergeFaults, type WorkerFaults } from './faults.js';

/** Speed and processor use of a throttled task relative to an unthrottled one. */
const THROTTLED_SPEED = 0.25;
/** Finished tasks that a worker retains for reports. */
const MAX_FINISHED = 10_000;

export interface WorkerModelOptions {
  readonly capacity: Resources;
  /** Age of the usage figures in reports. */
  readonly lagMs: Millis;
}

/** One run of a task as it happened on the worker, for assertions in tests. */
export interface TaskRun {
  readonly id: TaskId;
  readonly fence: Fence;
  readonly startedAt: Millis;
  readonly endedAt?: Millis;
  readonly outcome?: RunOutcome;
}

interface ActiveRun {
  readonly order: LeaseOrder;
  readonly behavior: CommandBehavior;
  readonly startedAt: Millis;
  readonly runIndex: number;
  validUntil: Millis;
  progressMs: Millis;
  throttled: boolean;
}

type LeaseIdentity = Pick<LeaseOrder, 'id' | 'fence'>;

/** Simulates a worker without I/O. All times are readings of the worker's own clock. */
export class WorkerModel {
  readonly #options: WorkerModelOptions;
  readonly #activeRuns = new Map<TaskId, ActiveRun>();
  readonly #latestFences = new Map<TaskId, Fence>();
  readonly #finished: { readonly position: number; readonly task: FinishedTask }[] = [];
  readonly #runs: TaskRun[] = [];
  #faults = NO_WORKER_FAULTS;
  #draining = false;
  #cordoned = false;
  /** Highest owner epoch of each role that this worker has accepted. Survives reboots. */
  readonly #ownerEpochs = new Map<string, number>();
  #highestEpoch = 0;
  #lastPosition = 0;
  #advancedTo: Millis;
  #incarnation = 1;

  constructor(options: WorkerModelOptions, now: Millis) {
    this.#options = options;
    this.#advancedTo = now;
  }

  get faults(): WorkerFaults {
    return this.#faults;
  }

  /** Every run so far, in order of start. */
  get runs(): readonly TaskRun[] {
    return this.#runs;
  }

  /** Changes with each reboot. */
  get incarnation(): string {
    return String(this.#incarnation);
  }

  setFaults(raw: unknown, now: Millis): WorkerFaults {
    this.advance(now);
    this.#faults = mergeFaults(this.#faults, raw);
    return this.#faults;
  }

  lease(order: LeaseOrder, now: Millis): LeaseReply {
    this.advance(now);
    const refusal = this.#findRefusal(order, now);
    if (refusal !== undefined) {
      return refusal;
    }
    const current = this.#activeRuns.get(order.id);
    if (current !== undefined) {
      if (compareFences(current.order.fence, order.fence) === 0) {
        return 'accepted';
      }
      this.#endAndReport(current, 'stopped', 'replaced by a later lease', now);
    }
    this.#startRun(order, now);
    return 'accepted';
  }

  renew(epoch: number, order: RenewOrder, now: Millis): LeaseReply {
    this.advance(now);
    const active = this.#findActiveRun(epoch, order);
    if (typeof active === 'string') {
      return active;
    }
    if (now > order.validBeforeMs) {
      return 'expired';
    }
    active.validUntil = Math.max(active.validUntil, now + order.ttlMs);
    active.throttled = order.throttled;
    return 'accepted';
  }

  stop(epoch: number, order: LeaseIdentity, mode: StopMode, now: Millis): LeaseReply {
    this.advance(now);
    const active = this.#findActiveRun(epoch, order);
    if (typeof active === 'string') {
      return active;
    }
    if (mode === 'throttle') {
      active.throttled = true;
    } else if (mode === 'stop') {
      this.#endAndReport(active, 'stopped', 'stopped on request', now);
    } else if (active.behavior.checkpoints) {
      this.#endAndReport(active, 'checkpointed', 'checkpointed on request', now);
    }
    return 'accepted';
  }

  /** Records the epoch of the fence. Returns false for one below the highest epoch of its role. */
  acceptOwnerFence(fence: OwnerFence | undefined): boolean {
    if (fence === undefined) {
      return true;
    }
    const highest = this.#ownerEpochs.get(fence.role) ?? 0;
    this.#ownerEpochs.set(fence.role, Math.max(highest, fence.epoch));
    return fence.epoch >= highest;
  }

  get isDraining(): boolean {
    return this.#draining;
  }

  /** Stops or resumes the acceptance of leases. Resuming also ends a drain. */
  cordon(on: boolean): void {
    this.#cordoned = on;
    this.#draining &&= on;
  }

  /** Refuses new leases and checkpoints the running tasks. Those that cannot checkpoint finish. */
  drain(now: Millis): void {
    this.advance(now);
    this.#draining = true;
    for (const active of [...this.#activeRuns.values()]) {
      if (active.behavior.checkpoints) {
        this.#endAndReport(active, 'checkpointed', 'drained', now);
      }
    }
  }

  /** Ends every run without reporting it and discards the state, except the owner epochs. */
  reboot(now: Millis): void {
    this.advance(now);
    for (const active of [...this.#activeRuns.values()]) {
      this.#endRun(active, 'stopped', now);
    }
    this.#latestFences.clear();
    this.#finished.length = 0;
    this.#lastPosition = 0;
    this.#highestEpoch = 0;
    this.#draining = false;
    this.#cordoned = false;
    this.#incarnation += 1;
  }

  /** Builds a report. Finished tasks with a position up to `after` are left out. */
  report(after: number, now: Millis): Omit<WorkerReport, 'worker' | 'requestedAt'> {
    this.advance(now);
    const finished = this.#finished.filter(({ position }) => position > after);
    return {
      incarnation: this.incarnation,
      clockMs: now,
      lagMs: this.#options.lagMs,
      draining: this.#draining,
      after,
      cursor: this.#lastPosition,
      running: [...this.#activeRuns.values()].map((active) => this.#describeRun(active, now)),
      finished: finished.map(({ task }) => task),
    };
  }

  /** Advances every run to `now`. Ends runs that finished or whose lease expired first. */
  advance(now: Millis): void {
    const elapsed = Math.max(0, now - this.#advancedTo);
    this.#advancedTo = Math.max(now, this.#advancedTo);
    for (const active of [...this.#activeRuns.values()]) {
      this.#advanceRun(active, now, elapsed);
    }
  }

  #advanceRun(active: ActiveRun, now: Millis, elapsed: Millis): void {
    const speed = this.#faults.paused ? 0 : active.throttled ? THROTTLED_SPEED : 1;
    active.progressMs += elapsed * speed;
    const doneAt = now - (active.progressMs - active.behavior.runMs) / (speed === 0 ? 1 : speed);
    if (active.progressMs >= active.behavior.runMs && doneAt <= active.validUntil) {
      const outcome = active.behavior.fails ? 'failed' : 'succeeded';
      this.#endAndReport(
        active,
        outcome,
        active.behavior.fails ? 'non-zero exit status' : '',
        doneAt,
      );
    } else if (now > active.validUntil) {
      this.#endAndReport(active, 'stopped', 'lease expired', active.validUntil);
    }
  }

  #findRefusal(order: LeaseOrder, now: Millis): LeaseReply | undefined {
    const latest = this.#latestFences.get(order.id);
    const older = latest !== undefined && compareFences(order.fence, latest) < 0;
    if (older || order.fence.epoch < this.#highestEpoch) {
      return 'stale-fence';
    }
    if (now > order.validBeforeMs || order.incarnation !== this.incarnation) {
      return 'expired';
    }
    const same = latest !== undefined && compareFences(order.fence, latest) === 0;
    if (same && !this.#activeRuns.has(order.id)) {
      return 'stale-fence';
    }
    if (this.#draining || this.#cordoned) {
      return 'draining';
    }
    return this.#hasFreeAccelerators(order) ? undefined : 'busy';
  }

  #hasFreeAccelerators(order: LeaseOrder): boolean {
    const others = [...this.#activeRuns.values()].filter((active) => active.order.id !== order.id);
    const used = others.reduce((sum, active) => sum + active.order.resources.accelerators, 0);
    return used + order.resources.accelerators <= this.#options.capacity.accelerators;
  }

  #findActiveRun(epoch: number, order: LeaseIdentity): ActiveRun | LeaseReply {
    if (epoch < this.#highestEpoch) {
      return 'stale-fence';
    }
    this.#highestEpoch = epoch;
    const active = this.#activeRuns.get(order.id);
    if (active === undefined) {
      return 'not-held';
    }
    const age = compareFences(order.fence, active.order.fence);
    return age < 0 ? 'stale-fence' : age > 0 ? 'not-held' : active;
  }

  #startRun(order: LeaseOrder, now: Millis): void {
    const behavior = parseCommand(order.command, order.resources);
    this.#latestFences.set(order.id, order.fence);
    this.#highestEpoch = Math.max(this.#highestEpoch, order.fence.epoch);
    this.#runs.push({ id: order.id, fence: order.fence, startedAt: now });
    const active: ActiveRun = {
      order,
      behavior,
      startedAt: now,
      runIndex: this.#runs.length - 1,
      validUntil: now + order.ttlMs,
      progressMs: 0,
      throttled: false,
    };
    this.#activeRuns.set(order.id, active);
    if (this.#faults.failAll) {
      this.#endAndReport(active, 'failed', 'injected worker fault', now);
    }
  }

  #endAndReport(active: ActiveRun, outcome: RunOutcome, detail: string, at: Millis): void {
    this.#endRun(active, outcome, at);
    this.#lastPosition += 1;
    const { id, fence } = active.order;
    const { usage: peak } = active.behavior;
    const task = { id, fence, outcome, peak, runMs: at - active.startedAt, detail };
    this.#finished.push({ position: this.#lastPosition, task });
    if (this.#finished.length > MAX_FINISHED) {
      this.#finished.shift();
    }
  }

  #endRun(active: ActiveRun, outcome: RunOutcome, at: Millis): void {
    this.#activeRuns.delete(active.order.id);
    const run = this.#runs[active.runIndex];
    if (run !== undefined) {
      this.#runs[active.runIndex] = { ...run, endedAt: at, outcome };
    }
  }

  #describeRun(active: ActiveRun, now: Millis): RunningTask {
    const { order, behavior, startedAt, throttled } = active;
    const idle = { processors: 0, memoryMb: 0, accelerators: 0 };
    const measured = now - startedAt >= this.#options.lagMs ? behavior.usage : idle;
    const usage = throttled
      ? { ...measured, processors: measured.processors * THROTTLED_SPEED }
      : measured;
    return { id: order.id, fence: order.fence, usage, runMs: now - startedAt, throttled };
  }
}
