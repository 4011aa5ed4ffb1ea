import { appError } from '../errors/index.js';
import type { Millis, TaskId, TeamName } from '../types/index.js';
import type { TaskAnswer, TaskEvent } from './messages.js';
import { isFinal, type TaskRecord, type TaskState } from './model.js';
import type { PoolState } from './pool-state.js';
import type { StopOrders } from './stop-orders.js';
import { isWaiting } from './task-store.js';
import type { WaitReasons } from './wait-reasons.js';

/** Log backlog at which submissions are refused: about ten seconds of writes. */
const MAX_BACKLOG_EVENTS = 100_000;
const RETRY_AFTER_MS = 1_000;

type Submitted = Extract<TaskEvent, { type: 'submitted' }>;
type Cancelled = Extract<TaskEvent, { type: 'cancelled' }>;

/** Accepts, validates and cancels tasks. Answers are sent only after the change is in the log. */
export class SubmissionHandler {
  readonly #state: PoolState;
  readonly #stops: StopOrders;
  readonly #waits: WaitReasons;

  constructor(state: PoolState, stops: StopOrders, waits: WaitReasons) {
    this.#state = state;
    this.#stops = stops;
    this.#waits = waits;
  }

  submit({ request, task }: Submitted, now: Millis): void {
    const { log, out } = this.#state;
    if (log.backlog >= MAX_BACKLOG_EVENTS) {
      const err = appError('queue-full', 'task log', RETRY_AFTER_MS);
      out.push({ type: 'answer', request, answer: { type: 'refused', err } });
      return;
    }
    const known = log.get(task.id);
    if (known !== undefined && known.task.team !== task.team) {
      const err = appError('bad-request', `task ${task.id} belongs to another team`);
      out.push({ type: 'answer', request, answer: { type: 'refused', err } });
      return;
    }
    if (known === undefined) {
      const record = log.write({ type: 'submitted', task });
      if (record !== undefined) {
        this.admit(record, now);
      }
    }
    log.whenConfirmed({ type: 'answer', request, answer: () => this.#answerFor(task.id) });
  }

  /** Queues a waiting task, or marks it as infeasible. */
  admit(record: TaskRecord, now: Millis): void {
    const { log, queues, placement, table } = this.#state;
    const { id } = record.task;
    const reason = table.configured ? placement.infeasibleReason(record.task) : undefined;
    if (reason === undefined) {
      const ready = record.state === 'infeasible' ? log.write({ type: 'feasible', id }) : record;
      if (ready !== undefined) {
        queues.add(record.task, now, false);
        this.#waits.clear(id);
      }
    } else if (record.state !== 'infeasible' || record.detail !== reason) {
      log.write({ type: 'infeasible', id, reason });
      this.#waits.set(id, 'infeasible', now);
    }
  }

  /**
   * Rechecks the feasibility of all waiting tasks after a change of the fleet or of team limits.
   */
  recheckFeasibility(now: Millis): void {
    for (const record of [...this.#state.log.records()]) {
      if (record.state === 'infeasible') {
        this.admit(record, now);
      } else if (isWaiting(record.state)) {
        this.#markIfInfeasible(record, now);
      }
    }
  }

  cancel({ request, team, ids }: Cancelled, now: Millis): void {
    for (const id of ids) {
      this.#cancelOne(id, team, now);
    }
    this.#state.log.whenConfirmed({
      type: 'answer',
      request,
      answer: () => this.#statesOf(team, ids),
    });
  }

  #markIfInfeasible(record: TaskRecord, now: Millis): void {
    const { log, queues, placement } = this.#state;
    const reason = placement.infeasibleReason(record.task);
    if (reason !== undefined) {
      queues.remove(record.task);
      log.write({ type: 'infeasible', id: record.task.id, reason });
      this.#waits.set(record.task.id, 'infeasible', now);
    }
  }

  #cancelOne(id: TaskId, team: TeamName, now: Millis): void {
    const { log, queues, leaseTable } = this.#state;
    const record = log.get(id);
    if (record?.task.team !== team || isFinal(record.state) || record.cancelRequested) {
      return;
    }
    const lease = leaseTable.get(id);
    if (lease === undefined) {
      queues.remove(record.task);
      this.#waits.clear(id);
      log.write({ type: 'ended', id, state: 'cancelled', detail: 'cancelled' });
      return;
    }
    const { fence } = lease;
    const reason = 'cancelled';
    log.write({ type: 'cancel-requested', id }, { type: 'send-stop', id, fence, reason });
    this.#waits.set(id, 'worker-answer', now);
  }

  /** Issues the stop order of a cancelled task. Called once the cancellation is in the log. */
  stopCancelled(id: TaskId, now: Millis): void {
    const lease = this.#state.leaseTable.get(id);
    if (lease !== undefined) {
      this.#stops.stop(lease, 'cancelled', now);
    }
  }

  #answerFor(id: TaskId): TaskAnswer {
    const record = this.#state.log.get(id);
    if (record === undefined) {
      return { type: 'refused', err: appError('not-found', id) };
    }
    return record.state === 'infeasible'
      ? { type: 'infeasible', id, reason: record.detail }
      : { type: 'accepted', id, state: this.#stateOf(id) };
  }

  #statesOf(team: TeamName, ids: readonly TaskId[]): TaskAnswer {
    const states = ids.map((id) => {
      const own = this.#state.log.get(id)?.task.team === team;
      return { id, state: own ? this.#stateOf(id) : ('absent' as const) };
    });
    return { type: 'cancelled', states };
  }

  #stateOf(id: TaskId): TaskState {
    const state = this.#state.log.confirmed(id)?.state ?? 'submitted';
    const runs = this.#state.leaseTable.get(id)?.phase === 'running';
    return state === 'leased' && runs ? 'running' : state;
  }
}
