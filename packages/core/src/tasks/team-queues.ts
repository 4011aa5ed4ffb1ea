import {
  WORK_CLASSES,
  type Millis,
  type TaskId,
  type TeamName,
  type WorkClass,
} from '../types/index.js';
import { IndexedPriorityQueue } from './indexed-priority-queue.js';
import type { ShareLedger } from './share-ledger.js';
import type { TaskSpec } from './model.js';
import { constraintKey } from './placement-index.js';

/** Removed entries that a lane may hold before it is compacted. */
const MAX_REMOVED_ENTRIES = 64;

/** FIFO queue of tasks that the same workers can run. Requeued tasks go to the front. */
class Lane {
  #order: TaskId[] = [];
  #head = 0;
  readonly #present = new Map<TaskId, Millis>();

  get size(): number {
    return this.#present.size;
  }

  since(id: TaskId): Millis | undefined {
    return this.#present.get(id);
  }

  push(id: TaskId, since: Millis): void {
    this.#order.push(id);
    this.#present.set(id, since);
  }

  pushFront(id: TaskId, since: Millis): void {
    if (this.#head > 0) {
      this.#head -= 1;
      this.#order[this.#head] = id;
    } else {
      this.#order.unshift(id);
    }
    this.#present.set(id, since);
  }

  remove(id: TaskId): void {
    this.#present.delete(id);
    this.#skipRemoved();
  }

  /** Returns the first `count` tasks without removing them. */
  peek(count: number): readonly TaskId[] {
    const found: TaskId[] = [];
    for (let i = this.#head; i < this.#order.length && found.length < count; i += 1) {
      const id = this.#order[i];
      if (id !== undefined && this.#present.has(id)) {
        found.push(id);
      }
    }
    return found;
  }

  #skipRemoved(): void {
    for (let id = this.#order[this.#head]; id !== undefined; id = this.#order[this.#head]) {
      if (this.#present.has(id)) {
        break;
      }
      this.#head += 1;
    }
    if (this.#order.length > MAX_REMOVED_ENTRIES + 2 * this.#present.size) {
      this.#order = this.#order.slice(this.#head).filter((id) => this.#present.has(id));
      this.#head = 0;
    }
  }
}

/**
 * Waiting tasks of one team and class. There is one lane per set of constraints and need for
 * accelerators, since a worker with room for one kind may not suit another.
 */
class TaskQueue {
  readonly #lanes = new Map<string, Lane>();

  get size(): number {
    let size = 0;
    for (const lane of this.#lanes.values()) {
      size += lane.size;
    }
    return size;
  }

  since(task: TaskSpec): Millis | undefined {
    return this.#lanes.get(laneKey(task))?.since(task.id);
  }

  add(task: TaskSpec, since: Millis, first: boolean): void {
    const key = laneKey(task);
    const lane = this.#lanes.get(key) ?? new Lane();
    this.#lanes.set(key, lane);
    if (first) {
      lane.pushFront(task.id, since);
    } else {
      lane.push(task.id, since);
    }
  }

  remove(task: TaskSpec): void {
    const key = laneKey(task);
    const lane = this.#lanes.get(key);
    lane?.remove(task.id);
    if (lane?.size === 0) {
      this.#lanes.delete(key);
    }
  }

  /** Returns the first `count` tasks of each lane. */
  heads(count: number): readonly (readonly TaskId[])[] {
    return [...this.#lanes.values()].map((lane) => lane.peek(count));
  }
}

function laneKey({ resources, constraints }: TaskSpec): string {
  const kind = resources.accelerators > 0 ? 'accelerated' : 'plain';
  return `${kind} ${constraintKey(constraints)}`;
}

interface ClassQueues {
  readonly teams: Map<TeamName, TaskQueue>;
  /** Teams with waiting tasks that have not been parked since the last `unparkAll`. */
  readonly ranked: IndexedPriorityQueue<TeamName>;
  readonly parked: Set<TeamName>;
}

/** Waiting tasks by class and team. The teams of each class are ordered by rank. */
export class TeamQueues {
  readonly #ledger: ShareLedger;
  readonly #classes: Readonly<Record<WorkClass, ClassQueues>> = {
    urgent: emptyQueues(),
    normal: emptyQueues(),
    archive: emptyQueues(),
  };

  constructor(ledger: ShareLedger) {
    this.#ledger = ledger;
  }

  add(task: TaskSpec, since: Millis, first: boolean): void {
    const queues = this.#classes[task.workClass];
    const queue = queues.teams.get(task.team) ?? new TaskQueue();
    queues.teams.set(task.team, queue);
    queue.add(task, since, first);
    queues.parked.delete(task.team);
    queues.ranked.set(task.team, this.#ledger.rank(task.team));
  }

  remove(task: TaskSpec): void {
    const queues = this.#classes[task.workClass];
    const queue = queues.teams.get(task.team);
    queue?.remove(task);
    if (queue?.size === 0) {
      queues.teams.delete(task.team);
      queues.parked.delete(task.team);
      queues.ranked.remove(task.team);
    }
  }

  since(task: TaskSpec): Millis | undefined {
    return this.#classes[task.workClass].teams.get(task.team)?.since(task);
  }

  waitingCount(team: TeamName, workClass: WorkClass): number {
    return this.#classes[workClass].teams.get(team)?.size ?? 0;
  }

  hasWaiting(workClass: WorkClass): boolean {
    return this.#classes[workClass].teams.size > 0;
  }

  /** Returns the team of this class that is farthest below its share and is not parked. */
  firstTeam(workClass: WorkClass): TeamName | undefined {
    return this.#classes[workClass].ranked.first();
  }

  /** Returns the first `count` waiting tasks of each lane of the team. */
  heads(workClass: WorkClass, team: TeamName, count: number): readonly (readonly TaskId[])[] {
    return this.#classes[workClass].teams.get(team)?.heads(count) ?? [];
  }

  /** Skips a team until the next `unparkAll`. */
  park(workClass: WorkClass, team: TeamName): void {
    this.#classes[workClass].ranked.remove(team);
    this.#classes[workClass].parked.add(team);
  }

  unparkAll(): void {
    for (const workClass of WORK_CLASSES) {
      const { parked, ranked } = this.#classes[workClass];
      for (const team of parked) {
        ranked.set(team, this.#ledger.rank(team));
      }
      parked.clear();
    }
  }

  /** Updates the position of the team after its usage has changed. */
  rerank(team: TeamName): void {
    for (const workClass of WORK_CLASSES) {
      const { ranked } = this.#classes[workClass];
      if (ranked.has(team)) {
        ranked.set(team, this.#ledger.rank(team));
      }
    }
  }
}

function emptyQueues(): ClassQueues {
  return { teams: new Map(), ranked: new IndexedPriorityQueue(), parked: new Set() };
}
