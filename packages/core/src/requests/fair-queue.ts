import { type RequestId, type TeamName, WORK_CLASSES, type WorkClass } from '../types/index.js';
import { ClassQueue } from './class-queue.js';
import type { Slot, Waiting } from './flow.js';

/** Part of the starts that archive work keeps while it waits. */
export const ARCHIVE_FLOOR = 0.05;
const STARTS_PER_ARCHIVE_START = Math.round(1 / ARCHIVE_FLOOR);

/** Weighted fair queue over teams, with the classes urgent before normal before archive. */
export class FairQueue<T extends Waiting> {
  readonly #capacity: number;
  readonly #classes: Readonly<Record<WorkClass, ClassQueue<T>>> = {
    urgent: new ClassQueue(),
    normal: new ClassQueue(),
    archive: new ClassQueue(),
  };
  readonly #slots = new Map<RequestId, Slot<T>>();
  #weightOf: (team: TeamName) => number = () => 1;
  #startsSinceArchive = 0;

  /** `capacity` bounds the waiting work. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get waiting(): number {
    return this.#slots.size;
  }

  waitingOf(team: TeamName): number {
    return WORK_CLASSES.reduce((sum, name) => sum + this.#classes[name].waitingOf(team), 0);
  }

  /** Waiting work of each team that has any. */
  waitingByTeam(): ReadonlyMap<TeamName, number> {
    const sums = new Map<TeamName, number>();
    for (const workClass of WORK_CLASSES) {
      for (const [team, waiting] of this.#classes[workClass].waitingByTeam()) {
        sums.set(team, (sums.get(team) ?? 0) + waiting);
      }
    }
    return sums;
  }

  /** Whether the work of the team in this class waits for a unit of the team. */
  parked(team: TeamName, workClass: WorkClass): boolean {
    return this.#classes[workClass].parked(team);
  }

  /**
   * Whether one more piece of work fits. A flow may hold no more than the space that is left, so
   * that one team can't close the queue for the others.
   */
  fits(team: TeamName, workClass: WorkClass): boolean {
    return this.#classes[workClass].waitingOf(team) < this.#capacity - this.waiting;
  }

  push(item: T): void {
    const slot = this.#classes[item.workClass].push(item, this.#weightOf(item.team));
    this.#slots.set(item.id, slot);
  }

  /** Removes waiting work in amortised O(1); `false` if it does not wait here. */
  remove(id: RequestId): boolean {
    const slot = this.#slots.get(id);
    if (slot === undefined) {
      return false;
    }
    this.#slots.delete(id);
    this.#classes[slot.item.workClass].remove(slot);
    return true;
  }

  /** Takes the next work whose team is `allowed`; teams that are not stay parked until `unpark`. */
  take(allowed: (team: TeamName) => boolean): T | undefined {
    for (const workClass of this.#order()) {
      const item = this.#classes[workClass].take(allowed);
      if (item !== undefined) {
        this.#slots.delete(item.id);
        this.#count(workClass);
        return item;
      }
    }
    return undefined;
  }

  /** Takes everything out, whether its team is parked or not. */
  takeAll(): readonly T[] {
    const items = [...this.#slots.values()].map((slot) => slot.item);
    for (const item of items) {
      this.remove(item.id);
    }
    return items;
  }

  unpark(team: TeamName): void {
    for (const workClass of WORK_CLASSES) {
      this.#classes[workClass].unpark(team);
    }
  }

  unparkAll(): void {
    for (const workClass of WORK_CLASSES) {
      this.#classes[workClass].unparkAll();
    }
  }

  /** Sets the weight of every team, which must be positive. */
  reweigh(weightOf: (team: TeamName) => number): void {
    this.#weightOf = weightOf;
    for (const workClass of WORK_CLASSES) {
      this.#classes[workClass].reweigh(weightOf);
    }
  }

  /** Estimated starts of this queue up to and including the last waiting work of the team. */
  startsUntilLast(team: TeamName, workClass: WorkClass): number {
    const own = this.#classes[workClass].startsUntilLast(team);
    const { urgent, normal } = this.#classes;
    if (workClass === 'urgent') {
      return own;
    }
    if (workClass === 'normal') {
      return own + urgent.waiting;
    }
    return Math.min(own + urgent.waiting + normal.waiting, own * STARTS_PER_ARCHIVE_START);
  }

  #order(): readonly WorkClass[] {
    const archiveDue = this.#startsSinceArchive >= STARTS_PER_ARCHIVE_START - 1;
    return archiveDue ? ['archive', 'urgent', 'normal'] : WORK_CLASSES;
  }

  #count(started: WorkClass): void {
    const waits = started !== 'archive' && this.#classes.archive.ready;
    this.#startsSinceArchive = waits ? this.#startsSinceArchive + 1 : 0;
  }
}
