import { WORK_CLASSES, type Millis, type TaskId, type TeamName } from '../types/index.js';
import type { Resources, TaskRecord, TaskState } from './model.js';
import type { WaitReason } from './messages.js';
import type { PoolState } from './pool-state.js';
import { isWaiting } from './task-store.js';
import type { WaitReasons } from './wait-reasons.js';

/** State of a task, with what it waits for and since when. */
export interface TaskExplanation {
  readonly id: TaskId;
  readonly team: TeamName;
  readonly state: TaskState;
  readonly detail: string;
  readonly worker?: string;
  readonly waits?: { readonly reason: WaitReason; readonly since: Millis };
}

/** Usage, allowance and waiting tasks of a team in this pool. */
export interface TeamExplanation {
  readonly team: TeamName;
  readonly waiting: Readonly<Record<'urgent' | 'normal' | 'archive', number>>;
  readonly charged: Resources;
  readonly allowance: Resources;
  /** Dominant share divided by the weight; the team with the lowest rank is served first. */
  readonly rank: number;
  /** Wait of the first queued task of the most urgent class. */
  readonly waits?: { readonly id: TaskId; readonly reason: WaitReason; readonly since: Millis };
}

/** Explains why tasks and teams wait. */
export class WaitExplainer {
  readonly #state: PoolState;
  readonly #waits: WaitReasons;

  constructor(state: PoolState, waits: WaitReasons) {
    this.#state = state;
    this.#waits = waits;
  }

  task(id: TaskId, now: Millis): TaskExplanation | undefined {
    const record = this.#state.log.confirmed(id);
    if (record === undefined) {
      return undefined;
    }
    const lease = this.#state.leaseTable.get(id);
    const { team } = record.task;
    const runs = record.state === 'leased' && lease?.phase === 'running';
    const state = runs ? 'running' : record.state;
    const waits = this.#waitOf(record, now);
    const { detail } = record;
    return {
      id,
      team,
      state,
      detail,
      ...(lease === undefined ? {} : { worker: lease.worker }),
      ...(waits === undefined ? {} : { waits }),
    };
  }

  team(team: TeamName, now: Millis): TeamExplanation {
    const { queues, ledger } = this.#state;
    const waits = this.#firstWait(team, now);
    return {
      team,
      waiting: {
        urgent: queues.waitingCount(team, 'urgent'),
        normal: queues.waitingCount(team, 'normal'),
        archive: queues.waitingCount(team, 'archive'),
      },
      charged: ledger.charged(team),
      allowance: ledger.allowance(team),
      rank: ledger.rank(team),
      ...(waits === undefined ? {} : { waits }),
    };
  }

  #firstWait(team: TeamName, now: Millis): TeamExplanation['waits'] {
    for (const workClass of WORK_CLASSES) {
      const [id] = this.#state.queues.heads(workClass, team, 1).flat();
      const record = id === undefined ? undefined : this.#state.log.get(id);
      const wait = record === undefined ? undefined : this.#waitOf(record, now);
      if (id !== undefined && wait !== undefined) {
        return { id, ...wait };
      }
    }
    return undefined;
  }

  #waitOf(record: TaskRecord, now: Millis): TaskExplanation['waits'] {
    const { queues, gate, leaseTable } = this.#state;
    const { id } = record.task;
    const lease = leaseTable.get(id);
    if (lease !== undefined) {
      const reason = lease.phase === 'planned' ? 'log-append' : 'worker-answer';
      return lease.phase === 'running' ? undefined : { reason, since: lease.since };
    }
    const stored = this.#waits.get(id);
    if (record.state === 'infeasible') {
      return stored ?? { reason: 'infeasible', since: now };
    }
    if (!isWaiting(record.state)) {
      return undefined;
    }
    const since = queues.since(record.task) ?? now;
    const blocked = gate.blockedBy(now);
    return blocked === undefined
      ? (stored ?? { reason: 'share', since })
      : { reason: blocked, since };
  }
}
