import type { TeamName } from '../types/index.js';
import { Flow, type Slot, type Waiting } from './flow.js';
import { Heap } from './heap.js';

interface Ready<T extends Waiting> {
  readonly flow: Flow<T>;
  readonly tag: number;
  readonly seq: number;
}

/** Start-time fair queueing over the teams of one class: the least virtual start time goes first. */
export class ClassQueue<T extends Waiting> {
  readonly #flows = new Map<TeamName, Flow<T>>();
  readonly #heap = new Heap<Ready<T>>(
    (a, b) => a.tag < b.tag || (a.tag === b.tag && a.seq < b.seq),
  );
  readonly #parked = new Set<TeamName>();
  #virtualTime = 0;
  #seq = 0;
  #waiting = 0;
  #activeWeight = 0;

  get waiting(): number {
    return this.#waiting;
  }

  /** Whether some team has work here that is not parked. */
  get ready(): boolean {
    this.#dropEmpty();
    return this.#heap.size > 0;
  }

  waitingOf(team: TeamName): number {
    return this.#flows.get(team)?.waiting ?? 0;
  }

  waitingByTeam(): readonly (readonly [TeamName, number])[] {
    return [...this.#flows.values()]
      .filter((flow) => flow.waiting > 0)
      .map((flow) => [flow.team, flow.waiting] as const);
  }

  parked(team: TeamName): boolean {
    return this.#parked.has(team);
  }

  push(item: T, weight: number): Slot<T> {
    const flow = this.#flowOf(item.team, weight);
    if (flow.waiting === 0) {
      this.#activeWeight += flow.weight;
    }
    const slot = flow.push(item);
    this.#waiting += 1;
    if (flow.state === 'idle') {
      this.#makeReady(flow);
    }
    return slot;
  }

  remove(slot: Slot<T>): void {
    slot.flow.remove(slot);
    this.#left(slot.flow);
  }

  /** Takes the next work whose team is `allowed`; teams that are not are parked. */
  take(allowed: (team: TeamName) => boolean): T | undefined {
    for (;;) {
      this.#dropEmpty();
      const flow = this.#heap.pop()?.flow;
      if (flow === undefined) {
        return undefined;
      }
      if (allowed(flow.team)) {
        return this.#startFirst(flow);
      }
      flow.state = 'parked';
      this.#parked.add(flow.team);
    }
  }

  /** Lets a parked team compete again. Time spent parked earns no credit. */
  unpark(team: TeamName): void {
    const flow = this.#flows.get(team);
    if (this.#parked.delete(team) && flow !== undefined) {
      this.#makeReady(flow);
    }
  }

  unparkAll(): void {
    for (const team of [...this.#parked]) {
      this.unpark(team);
    }
  }

  /** Sets the weights of all teams. They count from the next start of each team. */
  reweigh(weightOf: (team: TeamName) => number): void {
    this.#activeWeight = 0;
    for (const flow of this.#flows.values()) {
      flow.weight = weightOf(flow.team);
      this.#activeWeight += flow.waiting > 0 ? flow.weight : 0;
    }
  }

  /** Estimated starts of this class up to and including the last waiting work of the team. */
  startsUntilLast(team: TeamName): number {
    const flow = this.#flows.get(team);
    if (flow === undefined || flow.waiting === 0) {
      return 0;
    }
    return Math.min(this.#waiting, (flow.waiting * this.#activeWeight) / flow.weight);
  }

  #flowOf(team: TeamName, weight: number): Flow<T> {
    const known = this.#flows.get(team);
    if (known !== undefined) {
      return known;
    }
    const flow = new Flow<T>(team, weight);
    this.#flows.set(team, flow);
    return flow;
  }

  #startFirst(flow: Flow<T>): T | undefined {
    const item = flow.shift();
    this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
    flow.finishTag = flow.startTag + 1 / flow.weight;
    flow.state = 'idle';
    this.#left(flow);
    if (flow.waiting > 0) {
      this.#makeReady(flow);
    }
    return item;
  }

  #makeReady(flow: Flow<T>): void {
    flow.state = 'ready';
    flow.startTag = Math.max(this.#virtualTime, flow.finishTag);
    this.#seq += 1;
    this.#heap.push({ flow, tag: flow.startTag, seq: this.#seq });
  }

  #left(flow: Flow<T>): void {
    this.#waiting -= 1;
    if (flow.waiting === 0) {
      this.#activeWeight -= flow.weight;
    }
  }

  #dropEmpty(): void {
    for (let top = this.#heap.peek(); top?.flow.waiting === 0; top = this.#heap.peek()) {
      this.#heap.pop();
      top.flow.state = 'idle';
    }
  }
}
