import {
  WORK_CLASSES,
  type Millis,
  type TaskId,
  type TeamName,
  type WorkClass,
} from '../types/index.js';
import { RankedKeys } from './ranked-keys.js';
import type { ShareLedger } from './share-ledger.js';
import type { TaskSpec } from './model.js';
import { constraintKey } from './placement-index.js';

/** Removed entries that a queue may hold before it is rewritten. */
const COMPACT_AFTER = 64;

/** Waiting tasks that the same workers could run, oldest first; tasks that ran before come first. */
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

  /** The first `count` tasks. */
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
    if (this.#order.length > COMPACT_AFTER + 2 * this.#present.size) {
      this.#order = this.#order.slice(this.#head).filter((id) => this.#present.has(id));
      this.#head = 0;
    }
  }
}

/**
 * Tasks of one team and class that wait. Tasks with other constraints, or with other needs of
 * accelerators, wait in a lane of their own, since room for one is no room for the other.
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
    return this.#lanes.get(laneOf(task))?.since(task.id);
  }

  add(task: TaskSpec, since: Millis, first: boolean): void {
    const key = laneOf(task);
    const lane = this.#lanes.get(key) ?? new Lane();
    this.#lanes.set(key, lane);
    if (first) {
      lane.pushFront(task.id, since);
    } else {
      lane.push(task.id, since);
    }
  }

  remove(task: TaskSpec): void {
    const key = laneOf(task);
    const lane = this.#lanes.get(key);
    lane?.remove(task.id);
    if (lane?.size === 0) {
      this.#lanes.delete(key);
    }
  }

  /** The first `count` tasks of each lane. */
  heads(count: number): readonly (readonly TaskId[])[] {
    return [...this.#lanes.values()].map((lane) => lane.peek(count));
  }
}

function laneOf({ resources, constraints }: TaskSpec): string {
  const kind = resources.accelerators > 0 ? 'accelerated' : 'plain';
  return `${kind} ${constraintKey(constraints)}`;
}

interface ClassQueues {
  readonly teams: Map<TeamName, TaskQueue>;
  /** Teams with waiting tasks that have not been passed over since the last `unpark`. */
  readonly ranked: RankedKeys<TeamName>;
  readonly parked: Set<TeamName>;
}

/** Waiting tasks by class and team, with the teams of each class in the order of their shares. */
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

  waiting(team: TeamName, workClass: WorkClass): number {
    return this.#classes[workClass].teams.get(team)?.size ?? 0;
  }

  hasWaiting(workClass: WorkClass): boolean {
    return this.#classes[workClass].teams.size > 0;
  }

  /** The team of this class that is farthest below its share and has not been passed over. */
  firstTeam(workClass: WorkClass): TeamName | undefined {
    return this.#classes[workClass].ranked.first();
  }

  /** The first `count` waiting tasks of each lane of the team. */
  heads(workClass: WorkClass, team: TeamName, count: number): readonly (readonly TaskId[])[] {
    return this.#classes[workClass].teams.get(team)?.heads(count) ?? [];
  }

  /** Passes a team over until `unpark`. */
  park(workClass: WorkClass, team: TeamName): void {
    this.#classes[workClass].ranked.remove(team);
    this.#classes[workClass].parked.add(team);
  }

  unpark(): void {
    for (const workClass of WORK_CLASSES) {
      const { parked, ranked } = this.#classes[workClass];
      for (const team of parked) {
        ranked.set(team, this.#ledger.rank(team));
      }
      parked.clear();
    }
  }

  /** Puts the team at its place after its use has changed. */
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
  return { teams: new Map(), ranked: new RankedKeys(), parked: new Set() };
}
