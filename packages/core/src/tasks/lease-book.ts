import type { InstanceName, Millis, TaskId, TeamName, WorkClass } from '../types/index.js';
import { DueQueue } from './due-queue.js';
import type { StopMode, StopReason } from './messages.js';
import type { Fence, Resources, TaskSpec } from './model.js';

/** `planned`: not sent; `sent`: sent, and not known to run; `running`: seen by its worker. */
export type LeasePhase = 'planned' | 'sent' | 'running';

/** A lease that is not surely over. */
export interface Lease {
  readonly task: TaskSpec;
  readonly fence: Fence;
  readonly worker: InstanceName;
  readonly phase: LeasePhase;
  /** Reserved on the worker. */
  readonly size: Resources;
  /** Counted against the team's allowance. */
  readonly charge: Resources;
  /** Our clock when it was planned. */
  readonly since: Millis;
  /** Our clock by which the lease has surely ended; undefined before it is sent. */
  readonly sureEnd: Millis | undefined;
  /** Process of the worker to which it was sent; undefined for a lease of a former owner. */
  readonly incarnation: string | undefined;
  /** Reading of the worker's clock after which the lease can't start any more. */
  readonly startsBeforeMs: Millis | undefined;
  readonly throttled: { readonly reason: StopReason; readonly at: Millis } | undefined;
  /** Processors given up while it is throttled. */
  readonly givenUp: number;
  readonly stopping:
    { readonly mode: StopMode; readonly reason: StopReason; readonly at: Millis } | undefined;
  /** A checkpoint was asked for and did not come. */
  readonly ignoresCheckpoint: boolean;
}

type Change = Partial<Omit<Lease, 'task' | 'fence' | 'worker' | 'since'>>;

/** Leases of the pool by task, worker, class and team, and in order of their end. */
export class LeaseBook {
  readonly #leases = new Map<TaskId, Lease>();
  readonly #byWorker = new Map<InstanceName, Set<TaskId>>();
  readonly #byClass: Readonly<Record<WorkClass, Map<TeamName, Set<TaskId>>>> = {
    urgent: new Map(),
    normal: new Map(),
    archive: new Map(),
  };
  readonly #ends = new DueQueue<TaskId>();

  get(id: TaskId): Lease | undefined {
    return this.#leases.get(id);
  }

  onWorker(worker: InstanceName): readonly Lease[] {
    return this.#resolve(this.#byWorker.get(worker));
  }

  teams(workClass: WorkClass): readonly TeamName[] {
    return [...this.#byClass[workClass].keys()];
  }

  /** The last `count` leases of a team in one class, newest first. */
  newestOfTeam(workClass: WorkClass, team: TeamName, count: number): readonly Lease[] {
    return this.#resolve(this.#byClass[workClass].get(team)).slice(-count).reverse();
  }

  add(lease: Lease): void {
    const { id, team, workClass } = lease.task;
    this.#leases.set(id, lease);
    include(this.#byWorker, lease.worker, id);
    include(this.#byClass[workClass], team, id);
    if (lease.sureEnd !== undefined) {
      this.#ends.set(id, lease.sureEnd);
    }
  }

  change(id: TaskId, change: Change): Lease | undefined {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return undefined;
    }
    const next = { ...lease, ...change };
    this.#leases.set(id, next);
    if (next.sureEnd !== undefined && next.sureEnd !== lease.sureEnd) {
      this.#ends.set(id, next.sureEnd);
    }
    return next;
  }

  remove(id: TaskId): void {
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      return;
    }
    this.#leases.delete(id);
    this.#ends.remove(id);
    exclude(this.#byWorker, lease.worker, id);
    exclude(this.#byClass[lease.task.workClass], lease.task.team, id);
  }

  /** Removes from the order of ends, and returns, one lease that has surely ended. */
  takeEnded(now: Millis): Lease | undefined {
    const id = this.#ends.takeDue(now);
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

function include<K>(groups: Map<K, Set<TaskId>>, key: K, id: TaskId): void {
  const group = groups.get(key) ?? new Set();
  group.add(id);
  groups.set(key, group);
}

function exclude<K>(groups: Map<K, Set<TaskId>>, key: K, id: TaskId): void {
  const group = groups.get(key);
  group?.delete(id);
  if (group?.size === 0) {
    groups.delete(key);
  }
}
