import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, TeamName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { Job, ReadyStep } from './job.js';
import type { ExecutorId, JobId } from './model.js';
import { PoolReservations } from './pool-reservations.js';
import type { HeldExecutor } from './reserved-capacity.js';
import type { StartGroup } from './start-group.js';

/** An executor that is kept from being filled by smaller tasks until a large task fits there. */
export interface Reservation extends HeldExecutor {
  readonly executor: ExecutorId;
  readonly pool: PoolName;
  readonly job: JobId;
  readonly team: TeamName;
  /** Key of what the task needs. */
  readonly needKey: string;
  readonly madeAt: Millis;
}

/**
 * `started`: the task has started there. `started-elsewhere`: it has started on another executor, or
 * waits no longer. `taken`: the order of service has put a task that is not smaller before it.
 * `job-ended`: its job has ended or has moved to another pool. `over-cap`: the cap of its team does
 * not allow it any more. `pool-shrunk`: the pool has become too small for so many reservations.
 */
export type ReservationEndReason =
  | 'started'
  | 'started-elsewhere'
  | 'taken'
  | 'job-ended'
  | 'over-cap'
  | 'pool-shrunk'
  | 'timed-out'
  | 'executor-left'
  | 'executor-cordoned'
  | 'executor-backing-off'
  | 'executor-silent'
  | 'zone-out';

/** A reservation that was made or has ended, with what determined it. */
export type ReservationChange =
  | {
      readonly change: 'made';
      readonly reservation: Reservation;
      /** Time for which the task had waited while smaller tasks started. */
      readonly waitedMs: Millis;
      /** Mean expected duration of the tasks that the pool has started. */
      readonly meanTaskMs: Millis;
      /** Age of the latest report of the executor, which the expected ends of its runs rest on. */
      readonly reportAgeMs: Millis;
      /** Number of reservations in all pools after this change. */
      readonly active: number;
    }
  | {
      readonly change: 'ended';
      readonly reservation: Reservation;
      readonly reason: ReservationEndReason;
      readonly heldMs: Millis;
      readonly active: number;
    };

/** Limits that reservations respect, as of one round of a pool. */
export interface ReservationRules {
  /** Whether tasks of a group may start if they fit. */
  mayStart(group: StartGroup): boolean;
  /** Whether the cap of a job's team allows a task of this size on top of what is running. */
  withinCap(job: Job, size: Resources): boolean;
  /** The step's current tasks by executor, where the choice of an executor depends on them. */
  stepRuns(job: Job, step: ReadyStep): ReadonlyMap<ExecutorId, number>;
}

/** Reservations of executors for large tasks, in all pools of a cell. */
export class Reservations {
  readonly #tables: CellTables;
  readonly #pools = new Map<PoolName, PoolReservations>();
  #changes: ReservationChange[] = [];
  #active = 0;

  constructor(tables: CellTables) {
    this.#tables = tables;
  }

  ofPool(pool: PoolName): PoolReservations {
    const known = this.#pools.get(pool);
    if (known !== undefined) {
      return known;
    }
    const created = new PoolReservations(pool, this.#tables, {
      onMade: (made) => {
        this.#active += 1;
        this.#changes.push({ change: 'made', ...made, active: this.#active });
      },
      onEnded: (ended) => {
        this.#active -= 1;
        this.#changes.push({ change: 'ended', ...ended, active: this.#active });
      },
    });
    this.#pools.set(pool, created);
    return created;
  }

  /** Returns the changes since the last call. */
  takeChanges(): readonly ReservationChange[] {
    const changes = this.#changes;
    this.#changes = [];
    return changes;
  }
}
