import { type RequestId, type TeamName, WORK_CLASSES, type WorkClass } from '../types/index.js';
import { ClassQueue } from './class-queue.js';
import type { QueuePosition, QueueItem } from './flow.js';

/** Minimum share of starts that archive items get while any of them wait. */
const ARCHIVE_MIN_SHARE = 0.05;
const STARTS_PER_ARCHIVE_START = Math.round(1 / ARCHIVE_MIN_SHARE);

/**
 * Weighted fair queue across teams that serves the classes in the order urgent, normal, archive.
 */
export class FairQueue<T extends QueueItem> {
  readonly #capacity: number;
  readonly #classes: Readonly<Record<WorkClass, ClassQueue<T>>> = {
    urgent: new ClassQueue(),
    normal: new ClassQueue(),
    archive: new ClassQueue(),
  };
  readonly #positions = new Map<RequestId, QueuePosition<T>>();
  #weightOf: (team: TeamName) => number = () => 1;
  #startsSinceArchive = 0;

  /** `capacity` is the maximum number of waiting items. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get waiting(): number {
    return this.#positions.size;
  }

  waitingOf(team: TeamName): number {
    return WORK_CLASSES.reduce((sum, name) => sum + this.#classes[name].waitingOf(team), 0);
  }

  /** Number of waiting items of each team that has any. */
  waitingByTeam(): ReadonlyMap<TeamName, number> {
    const sums = new Map<TeamName, number>();
    for (const workClass of WORK_CLASSES) {
      for (const [team, waiting] of this.#classes[workClass].waitingByTeam()) {
        sums.set(team, (sums.get(team) ?? 0) + waiting);
      }
    }
    return sums;
  }

  /** Whether the items of the team in this class wait for a unit of the team. */
  isThrottled(team: TeamName, workClass: WorkClass): boolean {
    return this.#classes[workClass].isThrottled(team);
  }

  /**
   * Whether one more item fits. A flow may hold no more items than there is free space left, so
   * that one team cannot fill the queue and lock out the others.
   */
  hasRoomFor(team: TeamName, workClass: WorkClass): boolean {
    return this.#classes[workClass].waitingOf(team) < this.#capacity - this.waiting;
  }

  push(item: T): void {
    const position = this.#classes[item.workClass].push(item, this.#weightOf(item.team));
    this.#positions.set(item.id, position);
  }

  /** Removes a waiting item in amortised O(1). Returns `false` if it is not in this queue. */
  remove(id: RequestId): boolean {
    const position = this.#positions.get(id);
    if (position === undefined) {
      return false;
    }
    this.#positions.delete(id);
    this.#classes[position.item.workClass].remove(position);
    return true;
  }

  /**
   * Dequeues the next item whose team is `allowed`. Other teams are throttled until `unthrottle`.
   */
  takeNext(allowed: (team: TeamName) => boolean): T | undefined {
    for (const workClass of this.#classOrder()) {
      const item = this.#classes[workClass].takeNext(allowed);
      if (item !== undefined) {
        this.#positions.delete(item.id);
        this.#recordStart(workClass);
        return item;
      }
    }
    return undefined;
  }

  /** Dequeues all items, including those of throttled teams. */
  takeAll(): readonly T[] {
    const items = [...this.#positions.values()].map((position) => position.item);
    for (const item of items) {
      this.remove(item.id);
    }
    return items;
  }

  unthrottle(team: TeamName): void {
    for (const workClass of WORK_CLASSES) {
      this.#classes[workClass].unthrottle(team);
    }
  }

  unthrottleAll(): void {
    for (const workClass of WORK_CLASSES) {
      this.#classes[workClass].unthrottleAll();
    }
  }

  /** Sets the weight of every team, which must be positive. */
  setWeights(weightOf: (team: TeamName) => number): void {
    this.#weightOf = weightOf;
    for (const workClass of WORK_CLASSES) {
      this.#classes[workClass].setWeights(weightOf);
    }
  }

  /**
   * Estimated number of starts until the last waiting item of the team in this class has started.
   */
  startsToDrain(team: TeamName, workClass: WorkClass): number {
    const own = this.#classes[workClass].startsToDrain(team);
    const { urgent, normal } = this.#classes;
    if (workClass === 'urgent') {
      return own;
    }
    if (workClass === 'normal') {
      return own + urgent.waiting;
    }
    return Math.min(own + urgent.waiting + normal.waiting, own * STARTS_PER_ARCHIVE_START);
  }

  #classOrder(): readonly WorkClass[] {
    const archiveDue = this.#startsSinceArchive >= STARTS_PER_ARCHIVE_START - 1;
    return archiveDue ? ['archive', 'urgent', 'normal'] : WORK_CLASSES;
  }

  #recordStart(started: WorkClass): void {
    const waits = started !== 'archive' && this.#classes.archive.hasReadyWork;
    this.#startsSinceArchive = waits ? this.#startsSinceArchive + 1 : 0;
  }
}
