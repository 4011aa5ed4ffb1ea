import type { InstanceName, Millis, TaskId, TeamName, WorkClass } from '../types/index.js';
import { DueQueue } from './due-queue.js';
import type { StopMode, StopReason } from './messages.js';
import type { Fence, Resources, TaskSpec } from './model.js';

/** `planned`: not sent yet; `sent`: not known to run; `running`: confirmed by the worker. */
export type LeasePhase = 'planned' | 'sent' | 'running';

/** A lease that may still be live. */
export interface Lease {
  readonly task: TaskSpec;
  readonly fence: Fence;
  readonly worker: InstanceName;
  readonly phase: LeasePhase;
  /** Resources reserved on the worker. */
  readonly size: Resources;
  /** Resources counted against the team's allowance. */
  readonly charge: Resources;
  /** Owner's clock when the lease was planned or taken over. */
  readonly since: Millis;
  /** Upper bound of the expiry, on the owner's clock; undefined before the lease is sent. */
  readonly latestExpiry: Millis | undefined;
  /**
   * Incarnation of the worker to which it was sent; undefined before, and if a former owner sent
   * it.
   */
  readonly incarnation: string | undefined;
  /** Reading of the worker's clock after which the worker no longer starts the task. */
  readonly startDeadlineMs: Millis | undefined;
  readonly throttled: { readonly reason: StopReason; readonly at: Millis } | undefined;
  /** Processors released while the task is throttled. */
  readonly freedProcessors: number;
  readonly stopping:
    { readonly mode: StopMode; readonly reason: StopReason; readonly at: Millis } | undefined;
  /** True after the task did not write a requested checkpoint in time. */
  readonly ignoresCheckpoint: boolean;
}

type LeaseUpdate = Partial<Omit<Lease, 'task' | 'fence' | 'worker' | 'since'>>;

/** Leases of the pool, indexed by task, by worker, by class and team, and by expiry. */
export class LeaseTable {
  readonly #leases = new Map<TaskId, Lease>();
  readonly #byWorker = new Map<InstanceName, Set<TaskId>>();
  readonly #byClass: Readonly<Record<WorkClass, Map<TeamName, Set<TaskId>>>> = {
    urgent: new Map(),
    normal: new Map(),
    archive: new Map(),
  };
  readonly #expiries = new DueQueue<TaskId>();

  get(id: TaskId): Lease | undefined {
    return this.#leases.get(id);
  }

  onWorker(worker: InstanceName): readonly Lease[] {
    return this.#resolve(this.#byWorker.get(worker));
  }

  teams(workClass: WorkClass): readonly TeamName[] {
    return [...this.#byClass[workClass].keys()];
  }

  /** Returns the last `count` leases of a team in one class, newest first. */
  newestLeases(workClass: WorkClass, team: TeamName, count: number): readonly Lease[] {
    return this.#resolve(this.#byClass[workClass].get(team)).slice(-count).reverse();
  }

  add(lease: Lease): void {
    const { id, team, workClass } = lease.task;
    this.#leases.set(id, lease);
    addToGroup(this.#byWorker, lease.worker, id);
    addToGroup(this.#byClass[workClass], team, id);
    if (lease.latestExpiry !== undefined) {
      this.#expiries.set(id, lease.latestExpiry);
    }
  }

  update(id: TaskId, change: LeaseUpdate): Lease | undefined {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return undefined;
    }
    const next = { ...lease, ...change };
    this.#leases.set(id, next);
    if (next.latestExpiry !== undefined && next.latestExpiry !== lease.latestExpiry) {
      this.#expiries.set(id, next.latestExpiry);
    }
    return next;
  }

  remove(id: TaskId): void {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return;
    }
    this.#leases.delete(id);
    this.#expiries.remove(id);
    removeFromGroup(this.#byWorker, lease.worker, id);
    removeFromGroup(this.#byClass[lease.task.workClass], lease.task.team, id);
  }

  /** Returns one lease whose latest expiry has passed, and removes it from the expiry queue. */
  takeExpired(now: Millis): Lease | undefined {
    const id = this.#expiries.takeDue(now);
    return id === undefined ? undefined : this.#leases.get(id);
  }

  #resolve(ids: ReadonlySet<TaskId> | undefined): readonly Lease[] {
    const found: Lease[] = [];
    for (const id of ids ?? []) {
      const lease = this.#leases.get(id);
      if (lease !== undefined) {
        found.push(lease);
      }
    }
    return found;
  }
}

function addToGroup<K>(groups: Map<K, Set<TaskId>>, key: K, id: TaskId): void {
  const group = groups.get(key) ?? new Set();
  group.add(id);
  groups.set(key, group);
}

function removeFromGroup<K>(groups: Map<K, Set<TaskId>>, key: K, id: TaskId): void {
  const group = groups.get(key);
  group?.delete(id);
  if (group?.size === 0) {
    groups.delete(key);
  }
}
