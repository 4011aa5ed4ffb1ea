import type { TeamName } from '../types/index.js';
import { Flow, type QueuePosition, type QueueItem } from './flow.js';
import { Heap } from './heap.js';

interface ReadyFlow<T extends QueueItem> {
  readonly flow: Flow<T>;
  readonly startTag: number;
  readonly seq: number;
}

/**
 * Start-time fair queueing across the teams of one class: the lowest virtual start time goes first.
 */
export class ClassQueue<T extends QueueItem> {
  readonly #flows = new Map<TeamName, Flow<T>>();
  readonly #readyFlows = new Heap<ReadyFlow<T>>(
    (a, b) => a.startTag < b.startTag || (a.startTag === b.startTag && a.seq < b.seq),
  );
  readonly #throttled = new Set<TeamName>();
  #virtualTime = 0;
  #seq = 0;
  #waiting = 0;
  #activeWeight = 0;

  get waiting(): number {
    return this.#waiting;
  }

  /** Whether any team that is not throttled has waiting items. */
  get hasReadyWork(): boolean {
    this.#dropEmptyFlows();
    return this.#readyFlows.size > 0;
  }

  waitingOf(team: TeamName): number {
    return this.#flows.get(team)?.waiting ?? 0;
  }

  waitingByTeam(): readonly (readonly [TeamName, number])[] {
    return [...this.#flows.values()]
      .filter((flow) => flow.waiting > 0)
      .map((flow) => [flow.team, flow.waiting] as const);
  }

  isThrottled(team: TeamName): boolean {
    return this.#throttled.has(team);
  }

  push(item: T, weight: number): QueuePosition<T> {
    const flow = this.#getOrCreateFlow(item.team, weight);
    if (flow.waiting === 0) {
      this.#activeWeight += flow.weight;
    }
    const position = flow.push(item);
    this.#waiting += 1;
    if (flow.state === 'idle') {
      this.#makeReady(flow);
    }
    return position;
  }

  remove(position: QueuePosition<T>): void {
    position.flow.remove(position);
    this.#itemRemoved(position.flow);
  }

  /** Dequeues the next item whose team is `allowed`. Throttles the teams that are not. */
  takeNext(allowed: (team: TeamName) => boolean): T | undefined {
    for (;;) {
      this.#dropEmptyFlows();
      const flow = this.#readyFlows.pop()?.flow;
      if (flow === undefined) {
        return undefined;
      }
      if (allowed(flow.team)) {
        return this.#takeFrom(flow);
      }
      flow.state = 'throttled';
      this.#throttled.add(flow.team);
    }
  }

  /** Makes a throttled team eligible again. It earns no credit for the time it was throttled. */
  unthrottle(team: TeamName): void {
    const flow = this.#flows.get(team);
    if (this.#throttled.delete(team) && flow !== undefined) {
      this.#makeReady(flow);
    }
  }

  unthrottleAll(): void {
    for (const team of [...this.#throttled]) {
      this.unthrottle(team);
    }
  }

  /** Sets the weights of all teams. They apply from the next start of each team. */
  setWeights(weightOf: (team: TeamName) => number): void {
    this.#activeWeight = 0;
    for (const flow of this.#flows.values()) {
      flow.weight = weightOf(flow.team);
      this.#activeWeight += flow.waiting > 0 ? flow.weight : 0;
    }
  }

  /**
   * Estimated number of starts in this class until the last waiting item of the team has started.
   */
  startsToDrain(team: TeamName): number {
    const flow = this.#flows.get(team);
    if (flow === undefined || flow.waiting === 0) {
      return 0;
    }
    return Math.min(this.#waiting, (flow.waiting * this.#activeWeight) / flow.weight);
  }

  #getOrCreateFlow(team: TeamName, weight: number): Flow<T> {
    const existing = this.#flows.get(team);
    if (existing !== undefined) {
      return existing;
    }
    const flow = new Flow<T>(team, weight);
    this.#flows.set(team, flow);
    return flow;
  }

  #takeFrom(flow: Flow<T>): T | undefined {
    const item = flow.shift();
    this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
    flow.finishTag = flow.startTag + 1 / flow.weight;
    flow.state = 'idle';
    this.#itemRemoved(flow);
    if (flow.waiting > 0) {
      this.#makeReady(flow);
    }
    return item;
  }

  #makeReady(flow: Flow<T>): void {
    flow.state = 'ready';
    flow.startTag = Math.max(this.#virtualTime, flow.finishTag);
    this.#seq += 1;
    this.#readyFlows.push({ flow, startTag: flow.startTag, seq: this.#seq });
  }

  #itemRemoved(flow: Flow<T>): void {
    this.#waiting -= 1;
    if (flow.waiting === 0) {
      this.#activeWeight -= flow.weight;
    }
  }

  #dropEmptyFlows(): void {
    for (
      let top = this.#readyFlows.peek();
      top?.flow.waiting === 0;
      top = this.#readyFlows.peek()
    ) {
      this.#readyFlows.pop();
      top.flow.state = 'idle';
    }
  }
}
