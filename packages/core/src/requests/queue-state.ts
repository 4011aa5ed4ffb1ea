import {
  NEVER,
  type Millis,
  type QueueName,
  type RequestId,
  type TeamName,
  type WorkClass,
} from '../types/index.js';
import { FairQueue } from './fair-queue.js';
import type { DemandRow } from './messages.js';
import type { PendingRequest } from './pending-request.js';
import { ServiceRateEstimator } from './service-rate-estimator.js';
import type { SlotInterval } from './slot-interval.js';

/** Waiting and running requests of one queue at this entry. */
export class QueueState {
  readonly name: QueueName;
  readonly fairQueue: FairQueue<PendingRequest>;
  /** Clock reading of the last update of the local weights. */
  weightsUpdatedAt: Millis = NEVER;
  /** Slots that this entry is limited to; `undefined` while slots are not scarce. */
  slotInterval: SlotInterval | undefined;
  readonly serviceRate = new ServiceRateEstimator();
  /**
   * Requests that wait for another attempt. They go first, since they have passed the fair queue.
   */
  readonly #retries = new Map<RequestId, PendingRequest>();
  readonly #running = new Map<TeamName, number>();
  #runningTotal = 0;

  constructor(name: QueueName, capacity: number) {
    this.name = name;
    this.fairQueue = new FairQueue(capacity);
  }

  get waiting(): number {
    return this.fairQueue.waiting + this.#retries.size;
  }

  get running(): number {
    return this.#runningTotal;
  }

  waitingOf(team: TeamName): number {
    const retries = [...this.#retries.values()].filter((req) => req.team === team).length;
    return this.fairQueue.waitingOf(team) + retries;
  }

  runningOf(team: TeamName): number {
    return this.#running.get(team) ?? 0;
  }

  addRetry(req: PendingRequest): void {
    this.#retries.set(req.id, req);
  }

  /** Removes and returns the request that has waited longest for its next attempt. */
  takeRetry(): PendingRequest | undefined {
    for (const req of this.#retries.values()) {
      this.#retries.delete(req.id);
      return req;
    }
    return undefined;
  }

  /** Removes and returns all waiting requests. */
  takeAll(): readonly PendingRequest[] {
    const retries = [...this.#retries.values()];
    this.#retries.clear();
    return [...retries, ...this.fairQueue.takeAll()];
  }

  remove(id: RequestId): void {
    if (!this.#retries.delete(id)) {
      this.fairQueue.remove(id);
    }
  }

  attemptStarted(team: TeamName, now: Millis): void {
    this.#running.set(team, this.runningOf(team) + 1);
    this.#runningTotal += 1;
    this.serviceRate.recordConcurrency(this.#runningTotal, now);
  }

  attemptEnded(team: TeamName, now: Millis): void {
    const left = this.runningOf(team) - 1;
    if (left > 0) {
      this.#running.set(team, left);
    } else {
      this.#running.delete(team);
    }
    this.serviceRate.recordConcurrency(this.#runningTotal, now);
    this.#runningTotal -= 1;
  }

  /** Waiting and running requests of each team that has any. */
  demand(): readonly DemandRow[] {
    const waiting = new Map(this.fairQueue.waitingByTeam());
    for (const req of this.#retries.values()) {
      waiting.set(req.team, (waiting.get(req.team) ?? 0) + 1);
    }
    const teams = new Set([...waiting.keys(), ...this.#running.keys()]);
    return [...teams].map((team) => ({
      queue: this.name,
      team,
      waiting: waiting.get(team) ?? 0,
      running: this.runningOf(team),
    }));
  }

  /**
   * Estimated wait of the last request of the team in this class; `undefined` with too few samples.
   * Requests that wait for units are estimated by the limit of the team, since grants grow.
   */
  estimatedWait(team: TeamName, workClass: WorkClass, teamLimit: number): Millis | undefined {
    if (this.fairQueue.isThrottled(team, workClass)) {
      return this.serviceRate.timeToStartAtConcurrency(this.fairQueue.waitingOf(team), teamLimit);
    }
    return this.serviceRate.timeToStart(
      this.fairQueue.startsToDrain(team, workClass) + this.#retries.size,
    );
  }

  /** Whether the request would likely miss its deadline even if it started now. */
  wouldMissDeadline(req: PendingRequest, now: Millis): boolean {
    return now + this.serviceRate.typicalMs > req.deadline;
  }

  /** Estimated time until this fraction of the waiting requests has started. */
  timeToDrain(fraction: number): Millis | undefined {
    return this.serviceRate.timeToStart(Math.ceil(this.waiting * fraction));
  }
}
