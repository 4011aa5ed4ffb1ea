import type { InstanceName, TaskId } from '../types/index.js';
import {
  compareFences,
  isFinal,
  type Fence,
  type TaskLogEvent,
  type TaskRecord,
  type TaskState,
} from './model.js';

/** Ended tasks retained for queries; the oldest are evicted first. */
const MAX_ENDED_TASKS = 20_000;

type Returned = Extract<TaskLogEvent, { type: 'returned' }>;
type Leased = Extract<TaskLogEvent, { type: 'leased' }>;

/**
 * State machine of the tasks of one pool. It is deterministic, so a new owner rebuilds the state by
 * replaying the log. An event that does not apply to the state of its task is ignored.
 */
export class TaskStore {
  readonly #records = new Map<TaskId, TaskRecord>();
  /** Ended tasks, oldest first. */
  readonly #ended = new Set<TaskId>();

  get size(): number {
    return this.#records.size;
  }

  get(id: TaskId): TaskRecord | undefined {
    return this.#records.get(id);
  }

  ids(): readonly TaskId[] {
    return [...this.#records.keys()];
  }

  records(): Iterable<TaskRecord> {
    return this.#records.values();
  }

  /** Applies one event. Returns the new record, or undefined if the event did not apply. */
  apply(event: TaskLogEvent): TaskRecord | undefined {
    const next = this.#nextRecord(event);
    if (next !== undefined) {
      this.#put(next);
    }
    return next;
  }

  #put(record: TaskRecord): void {
    const { id } = record.task;
    this.#records.set(id, record);
    if (!isFinal(record.state)) {
      return;
    }
    this.#ended.add(id);
    if (this.#ended.size > MAX_ENDED_TASKS) {
      const [oldest = id] = this.#ended;
      this.#ended.delete(oldest);
      this.#records.delete(oldest);
    }
  }

  #nextRecord(event: TaskLogEvent): TaskRecord | undefined {
    if (event.type === 'record') {
      return event.record;
    }
    if (event.type === 'submitted') {
      const { task } = event;
      const defaults = { resume: false, cancelRequested: false, failedOn: [], detail: '' } as const;
      return this.#records.has(task.id) ? undefined : { task, state: 'submitted', ...defaults };
    }
    const record = this.#records.get(event.id);
    return record === undefined || isFinal(record.state)
      ? undefined
      : this.#applyToRecord(record, event);
  }

  #applyToRecord(
    record: TaskRecord,
    event: Exclude<TaskLogEvent, { type: 'record' | 'submitted' }>,
  ): TaskRecord | undefined {
    switch (event.type) {
      case 'leased':
        return leased(record, event);
      case 'returned':
        return returned(record, event);
      case 'ended':
        return { ...withoutLease(record), state: event.state, detail: event.detail };
      case 'cancel-requested':
        return { ...record, cancelRequested: true };
      case 'infeasible':
        return isWaiting(record.state)
          ? { ...record, state: 'infeasible', detail: event.reason }
          : undefined;
      case 'feasible':
        return record.state === 'infeasible'
          ? { ...record, state: waitingState(record.resume), detail: '' }
          : undefined;
    }
  }
}

/** True for a task that may be scheduled. */
export function isWaiting(state: TaskState): boolean {
  return state === 'submitted' || state === 'checkpointed';
}

function waitingState(resume: boolean): TaskState {
  return resume ? 'checkpointed' : 'submitted';
}

function leased(record: TaskRecord, event: Leased): TaskRecord | undefined {
  if (!isWaiting(record.state) || record.cancelRequested) {
    return undefined;
  }
  const { fence, worker, ttlMs, resume } = event;
  return { ...record, state: 'leased', lease: { fence, worker, ttlMs }, resume };
}

function returned(record: TaskRecord, event: Returned): TaskRecord | undefined {
  if (record.lease === undefined || !sameFence(record.lease.fence, event.fence)) {
    return undefined;
  }
  const { worker } = record.lease;
  const resume = event.cause === 'checkpointed' || record.resume;
  const failedOn =
    event.cause === 'failed' ? appendUnique(record.failedOn, worker) : record.failedOn;
  return { ...withoutLease(record), state: waitingState(resume), resume, failedOn };
}

function appendUnique(
  workers: readonly InstanceName[],
  worker: InstanceName,
): readonly InstanceName[] {
  return workers.includes(worker) ? workers : [...workers, worker];
}

function withoutLease(record: TaskRecord): TaskRecord {
  const { task, state, resume, cancelRequested, failedOn, detail } = record;
  return { task, state, resume, cancelRequested, failedOn, detail };
}

export function sameFence(a: Fence, b: Fence): boolean {
  return compareFences(a, b) === 0;
}
