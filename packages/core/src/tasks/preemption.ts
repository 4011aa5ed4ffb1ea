import {
  WORK_CLASSES,
  type InstanceName,
  type Millis,
  type TeamName,
  type WorkClass,
} from '../types/index.js';
import { NO_RESOURCES, add, fitsIn, subtract } from './resource-arithmetic.js';
import type { Lease } from './lease-table.js';
import type { Resources, TaskRecord } from './model.js';
import type { PoolState } from './pool-state.js';
import { THROTTLED_FRACTION } from './stop-orders.js';

/** Number of workers at which the search for candidates of one claim ends. */
const MAX_CANDIDATES = 48;
/** Newest leases of each team whose workers become candidates. */
const LEASES_PER_TEAM = 8;
/**
 * Minimum age of a lease that is preempted for another team's share, so that tasks make progress.
 */
const MIN_RUN_MS = 2_000;

/** Tasks to throttle or checkpoint on one worker so that another task fits. */
export interface PreemptionPlan {
  readonly worker: InstanceName;
  readonly mode: 'throttle' | 'checkpoint';
  readonly victims: readonly Lease[];
}

interface Claim {
  readonly record: TaskRecord;
  readonly size: Resources;
  readonly now: Millis;
}

/**
 * Chooses victims: lowest class first, then the team farthest above its share, then the newest
 * lease, which loses the least work. Urgent work preempts lower classes. Otherwise a team preempts
 * another only if its rank afterwards does not exceed the other's, so that the two do not preempt
 * each other in turn.
 */
export class Preemption {
  readonly #state: PoolState;

  constructor(state: PoolState) {
    this.#state = state;
  }

  plan(record: TaskRecord, size: Resources, now: Millis): PreemptionPlan | undefined {
    const claim = { record, size, now };
    const workers = this.#candidates(claim);
    const throttling = record.task.workClass === 'urgent';
    const byThrottle = throttling ? this.#findPlan(workers, claim, 'throttle') : undefined;
    return byThrottle ?? this.#findPlan(workers, claim, 'checkpoint');
  }

  #findPlan(
    workers: readonly InstanceName[],
    claim: Claim,
    mode: PreemptionPlan['mode'],
  ): PreemptionPlan | undefined {
    for (const worker of workers) {
      const victims = this.#victimsOn(worker, claim, mode);
      if (victims !== undefined) {
        return { worker, mode, victims };
      }
    }
    return undefined;
  }

  /**
   * Returns the workers that hold eligible leases, in the order in which these should be preempted.
   */
  #candidates(claim: Claim): readonly InstanceName[] {
    const found = new Set<InstanceName>();
    for (const workClass of WORK_CLASSES.toReversed()) {
      for (const team of this.#teamsByRank(workClass)) {
        const newest = this.#state.leaseTable.newestLeases(workClass, team, LEASES_PER_TEAM);
        for (const lease of newest) {
          if (this.#mayPreempt(lease, claim) && this.#isUsable(lease.worker, claim)) {
            found.add(lease.worker);
          }
        }
        if (found.size >= MAX_CANDIDATES) {
          return [...found];
        }
      }
      if (workClass === claim.record.task.workClass) {
        break;
      }
    }
    return [...found];
  }

  #teamsByRank(workClass: WorkClass): readonly TeamName[] {
    const { leaseTable, ledger } = this.#state;
    const ranked = leaseTable.teams(workClass).map((team) => ({ team, rank: ledger.rank(team) }));
    return ranked.sort((a, b) => b.rank - a.rank).map(({ team }) => team);
  }

  #isUsable(worker: InstanceName, { record, size }: Claim): boolean {
    const { table } = this.#state;
    const view = table.get(worker);
    return (
      view !== undefined &&
      view.reservedFor === undefined &&
      table.isSchedulable(worker) &&
      fitsIn(size, view.capacity) &&
      !record.failedOn.includes(worker) &&
      table.index.matches(worker, record.task.constraints)
    );
  }

  #victimsOn(
    worker: InstanceName,
    claim: Claim,
    mode: PreemptionPlan['mode'],
  ): readonly Lease[] | undefined {
    const { table, leaseTable } = this.#state;
    const capacity = table.get(worker)?.capacity ?? NO_RESOURCES;
    const leases = leaseTable.onWorker(worker);
    const victims: Lease[] = [];
    const taken = new Map<TeamName, Resources>();
    let available = table.available(worker);
    for (const lease of this.#rankVictims(leases)) {
      if (fitsIn(claim.size, available)) {
        break;
      }
      const eligible =
        mode === 'throttle' ? lease.throttled === undefined : !lease.ignoresCheckpoint;
      if (eligible && this.#mayPreempt(lease, claim, taken)) {
        victims.push(lease);
        taken.set(lease.task.team, add(taken.get(lease.task.team) ?? NO_RESOURCES, lease.size));
        available = add(available, freedBy(lease, mode));
      }
    }
    const emptied = mode === 'checkpoint' && victims.length === leases.length;
    return victims.length > 0 && fitsIn(claim.size, emptied ? capacity : available)
      ? victims
      : undefined;
  }

  #rankVictims(leases: readonly Lease[]): readonly Lease[] {
    const { ledger } = this.#state;
    const ranked = leases.map((lease) => ({
      lease,
      level: WORK_CLASSES.indexOf(lease.task.workClass),
      rank: ledger.rank(lease.task.team),
    }));
    ranked.sort((a, b) => b.level - a.level || b.rank - a.rank || b.lease.since - a.lease.since);
    return ranked.map(({ lease }) => lease);
  }

  #mayPreempt(
    lease: Lease,
    { record, size, now }: Claim,
    taken: ReadonlyMap<TeamName, Resources> = new Map(),
  ): boolean {
    const { task } = record;
    const claimant = WORK_CLASSES.indexOf(task.workClass);
    const level = WORK_CLASSES.indexOf(lease.task.workClass);
    if (lease.phase === 'planned' || lease.stopping !== undefined || level < claimant) {
      return false;
    }
    if (task.workClass === 'urgent' && level > claimant) {
      return true;
    }
    if (lease.task.team === task.team || now - lease.since < MIN_RUN_MS) {
      return false;
    }
    const { ledger } = this.#state;
    const released = add(taken.get(lease.task.team) ?? NO_RESOURCES, lease.size);
    const left = ledger.rank(lease.task.team, subtract(NO_RESOURCES, released));
    return ledger.rank(task.team, size) <= left;
  }
}

function freedBy(lease: Lease, mode: PreemptionPlan['mode']): Resources {
  if (mode === 'checkpoint') {
    return lease.size;
  }
  return { ...NO_RESOURCES, processors: lease.size.processors * (1 - THROTTLED_FRACTION) };
}
