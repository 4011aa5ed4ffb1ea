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
import { planOf, type CommandPlan } from './command.js';
import { NO_FAULTS, mergeFaults, type WorkerFaults } from './faults.js';

/** Progress of a throttled task relative to a free one. */
const THROTTLED_SPEED = 0.25;
/** Finished tasks that a worker keeps for reports. */
const MAX_FINISHED = 10_000;

export interface WorkerModelOptions {
  readonly capacity: Resources;
  /** Age of the usage figures in reports. */
  readonly lagMs: Millis;
}

/** One run of a task, for tests: what really happened on the worker. */
export interface TaskRun {
  readonly id: TaskId;
  readonly fence: Fence;
  readonly startedAt: Millis;
  readonly endedAt?: Millis;
  readonly outcome?: RunOutcome;
}

interface Active {
  readonly order: LeaseOrder;
  readonly plan: CommandPlan;
  readonly startedAt: Millis;
  readonly run: number;
  validUntil: Millis;
  progressMs: Millis;
  throttled: boolean;
}

type OrderHead = Pick<LeaseOrder, 'id' | 'fence'>;

/** State of a worker stand-in. All times are readings of the worker's own clock. */
export class WorkerModel {
  readonly #options: WorkerModelOptions;
  readonly #active = new Map<TaskId, Active>();
  readonly #fences = new Map<TaskId, Fence>();
  readonly #finished: { readonly position: number; readonly task: FinishedTask }[] = [];
  readonly #runs: TaskRun[] = [];
  #faults = NO_FAULTS;
  #draining = false;
  #cordoned = false;
  /** Highest epoch of each role that has acted on this worker. Survives reboots. */
  readonly #ownerEpochs = new Map<string, number>();
  #highestEpoch = 0;
  #position = 0;
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
    const refusal = this.#refusal(order, now);
    if (refusal !== undefined) {
      return refusal;
    }
    const current = this.#active.get(order.id);
    if (current !== undefined) {
      if (compareFences(current.order.fence, order.fence) === 0) {
        return 'accepted';
      }
      this.#end(current, 'stopped', 'replaced by a later lease', now);
    }
    this.#start(order, now);
    return 'accepted';
  }

  renew(epoch: number, order: RenewOrder, now: Millis): LeaseReply {
    this.advance(now);
    const active = this.#held(epoch, order);
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

  stop(epoch: number, order: OrderHead, mode: StopMode, now: Millis): LeaseReply {
    this.advance(now);
    const active = this.#held(epoch, order);
    if (typeof active === 'string') {
      return active;
    }
    if (mode === 'throttle') {
      active.throttled = true;
    } else if (mode === 'stop') {
      this.#end(active, 'stopped', 'stopped on request', now);
    } else if (active.plan.checkpoints) {
      this.#end(active, 'checkpointed', 'checkpointed on request', now);
    }
    return 'accepted';
  }

  /** False if a later epoch of the role has acted on this worker. */
  admits(fence: OwnerFence | undefined): boolean {
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

  /** Stops or resumes the start of work. Resuming also ends a drain. */
  cordon(on: boolean): void {
    this.#cordoned = on;
    this.#draining &&= on;
  }

  /** Takes no new lease; what runs and can checkpoint does so, the rest finishes. */
  drain(now: Millis): void {
    this.advance(now);
    this.#draining = true;
    for (const active of [...this.#active.values()]) {
      if (active.plan.checkpoints) {
        this.#end(active, 'checkpointed', 'drained', now);
      }
    }
  }

  /** Ends every run without a report, as a restart does, and forgets the rest of the state. */
  reboot(now: Millis): void {
    this.advance(now);
    for (const active of [...this.#active.values()]) {
      this.#close(active, 'stopped', now);
    }
    this.#fences.clear();
    this.#finished.length = 0;
    this.#position = 0;
    this.#highestEpoch = 0;
    this.#draining = false;
    this.#cordoned = false;
    this.#incarnation += 1;
  }

  /** The report; `after` leaves out finished tasks up to that position. */
  report(after: number, now: Millis): Omit<WorkerReport, 'worker' | 'requestedAt'> {
    this.advance(now);
    const finished = this.#finished.filter(({ position }) => position > after);
    return {
      incarnation: this.incarnation,
      clockMs: now,
      lagMs: this.#options.lagMs,
      draining: this.#draining,
      after,
      cursor: this.#position,
      running: [...this.#active.values()].map((active) => this.#describe(active, now)),
      finished: finished.map(({ task }) => task),
    };
  }

  /** Moves every run to `now`: ends those whose lease lapsed before they were done. */
  advance(now: Millis): void {
    const elapsed = Math.max(0, now - this.#advancedTo);
    this.#advancedTo = Math.max(now, this.#advancedTo);
    for (const active of [...this.#active.values()]) {
      this.#advanceRun(active, now, elapsed);
    }
  }

  #advanceRun(active: Active, now: Millis, elapsed: Millis): void {
    const speed = this.#faults.paused ? 0 : active.throttled ? THROTTLED_SPEED : 1;
    active.progressMs += elapsed * speed;
    const doneAt = now - (active.progressMs - active.plan.runMs) / (speed === 0 ? 1 : speed);
    if (active.progressMs >= active.plan.runMs && doneAt <= active.validUntil) {
      const outcome = active.plan.fails ? 'failed' : 'succeeded';
      this.#end(active, outcome, active.plan.fails ? 'exit status' : '', doneAt);
    } else if (now > active.validUntil) {
      this.#end(active, 'stopped', 'lease lapsed', active.validUntil);
    }
  }

  #refusal(order: LeaseOrder, now: Millis): LeaseReply | undefined {
    const latest = this.#fences.get(order.id);
    const older = latest !== undefined && compareFences(order.fence, latest) < 0;
    if (older || order.fence.epoch < this.#highestEpoch) {
      return 'stale-fence';
    }
    if (now > order.validBeforeMs || order.incarnation !== this.incarnation) {
      return 'expired';
    }
    const same = latest !== undefined && compareFences(order.fence, latest) === 0;
    if (same && !this.#active.has(order.id)) {
      return 'stale-fence';
    }
    if (this.#draining || this.#cordoned) {
      return 'draining';
    }
    return this.#fits(order) ? undefined : 'busy';
  }

  #fits(order: LeaseOrder): boolean {
    const others = [...this.#active.values()].filter((active) => active.order.id !== order.id);
    const used = others.reduce((sum, active) => sum + active.order.resources.accelerators, 0);
    return used + order.resources.accelerators <= this.#options.capacity.accelerators;
  }

  #held(epoch: number, order: OrderHead): Active | LeaseReply {
    if (epoch < this.#highestEpoch) {
      return 'stale-fence';
    }
    this.#highestEpoch = epoch;
    const active = this.#active.get(order.id);
    if (active === undefined) {
      return 'not-held';
    }
    const age = compareFences(order.fence, active.order.fence);
    return age < 0 ? 'stale-fence' : age > 0 ? 'not-held' : active;
  }

  #start(order: LeaseOrder, now: Millis): void {
    const plan = planOf(order.command, order.resources);
    this.#fences.set(order.id, order.fence);
    this.#highestEpoch = Math.max(this.#highestEpoch, order.fence.epoch);
    this.#runs.push({ id: order.id, fence: order.fence, startedAt: now });
    const active: Active = {
      order,
      plan,
      startedAt: now,
      run: this.#runs.length - 1,
      validUntil: now + order.ttlMs,
      progressMs: 0,
      throttled: false,
    };
    this.#active.set(order.id, active);
    if (this.#faults.failAll) {
      this.#end(active, 'failed', 'worker fault', now);
    }
  }

  #end(active: Active, outcome: RunOutcome, detail: string, at: Millis): void {
    this.#close(active, outcome, at);
    this.#position += 1;
    const { id, fence } = active.order;
    const { usage: peak } = active.plan;
    const task = { id, fence, outcome, peak, runMs: at - active.startedAt, detail };
    this.#finished.push({ position: this.#position, task });
    if (this.#finished.length > MAX_FINISHED) {
      this.#finished.shift();
    }
  }

  #close(active: Active, outcome: RunOutcome, at: Millis): void {
    this.#active.delete(active.order.id);
    const run = this.#runs[active.run];
    if (run !== undefined) {
      this.#runs[active.run] = { ...run, endedAt: at, outcome };
    }
  }

  #describe(active: Active, now: Millis): RunningTask {
    const { order, plan, startedAt, throttled } = active;
    const idle = { processors: 0, memoryMb: 0, accelerators: 0 };
    const measured = now - startedAt >= this.#options.lagMs ? plan.usage : idle;
    const usage = throttled
      ? { ...measured, processors: measured.processors * THROTTLED_SPEED }
      : measured;
    return { id: order.id, fence: order.fence, usage, runMs: now - startedAt, throttled };
  }
}
