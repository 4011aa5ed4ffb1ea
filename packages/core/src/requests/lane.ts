import type { Millis, QueueName, RequestId, TeamName, WorkClass } from '../types/index.js';
import { FairQueue } from './fair-queue.js';
import type { DemandRow } from './messages.js';
import type { OpenRequest } from './open-request.js';
import { ServiceMeter } from './service-meter.js';
import type { SlotInterval } from './slot-part.js';

/** The waiting and running work of one queue. */
export class Lane {
  readonly queue: QueueName;
  readonly fair: FairQueue<OpenRequest>;
  /** Time of the last computation of the local weights. */
  reweighedAt: Millis = Number.NEGATIVE_INFINITY;
  /** Slots that this entry keeps to while slots are scarce. */
  slots: SlotInterval | undefined;
  readonly meter = new ServiceMeter();
  /** Requests between two attempts. They go before the fair queue, which they passed already. */
  readonly #retries = new Map<RequestId, OpenRequest>();
  readonly #running = new Map<TeamName, number>();
  #runningTotal = 0;

  constructor(queue: QueueName, capacity: number) {
    this.queue = queue;
    this.fair = new FairQueue(capacity);
  }

  get waiting(): number {
    return this.fair.waiting + this.#retries.size;
  }

  get running(): number {
    return this.#runningTotal;
  }

  waitingOf(team: TeamName): number {
    const retries = [...this.#retries.values()].filter((req) => req.team === team).length;
    return this.fair.waitingOf(team) + retries;
  }

  runningOf(team: TeamName): number {
    return this.#running.get(team) ?? 0;
  }

  hold(req: OpenRequest): void {
    this.#retries.set(req.id, req);
  }

  /** Takes the request that waits longest for its next attempt. */
  takeRetry(): OpenRequest | undefined {
    for (const req of this.#retries.values()) {
      this.#retries.delete(req.id);
      return req;
    }
    return undefined;
  }

  /** Takes everything that waits. */
  takeAll(): readonly OpenRequest[] {
    const retries = [...this.#retries.values()];
    this.#retries.clear();
    return [...retries, ...this.fair.takeAll()];
  }

  remove(id: RequestId): void {
    if (!this.#retries.delete(id)) {
      this.fair.remove(id);
    }
  }

  started(team: TeamName, now: Millis): void {
    this.#running.set(team, this.runningOf(team) + 1);
    this.#runningTotal += 1;
    this.meter.running(this.#runningTotal, now);
  }

  ended(team: TeamName, now: Millis): void {
    const left = this.runningOf(team) - 1;
    if (left > 0) {
      this.#running.set(team, left);
    } else {
      this.#running.delete(team);
    }
    this.meter.running(this.#runningTotal, now);
    this.#runningTotal -= 1;
  }

  /** Waiting and running work of each team that has any. */
  demand(): readonly DemandRow[] {
    const waiting = new Map(this.fair.waitingByTeam());
    for (const req of this.#retries.values()) {
      waiting.set(req.team, (waiting.get(req.team) ?? 0) + 1);
    }
    const teams = new Set([...waiting.keys(), ...this.#running.keys()]);
    return [...teams].map((team) => ({
      queue: this.queue,
      team,
      waiting: waiting.get(team) ?? 0,
      running: this.runningOf(team),
    }));
  }

  /**
   * Estimated wait of the last work of the team in this class; `undefined` without a basis for it.
   * Work that waits for units is measured against the limit of the team, since grants grow.
   */
  estimatedWait(team: TeamName, workClass: WorkClass, teamLimit: number): Millis | undefined {
    if (this.fair.parked(team, workClass)) {
      return this.meter.timeAt(this.fair.waitingOf(team), teamLimit);
    }
    return this.meter.timeFor(this.fair.startsUntilLast(team, workClass) + this.#retries.size);
  }

  /** Whether the work would likely not be complete by its deadline if it started now. */
  startsTooLate(req: OpenRequest, now: Millis): boolean {
    return now + this.meter.typicalMs > req.deadline;
  }

  /** Time until a part of the waiting work has started. */
  timeToDrain(part: number): Millis | undefined {
    return this.meter.timeFor(Math.ceil(this.waiting * part));
  }
}
