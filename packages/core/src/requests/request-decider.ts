import { type AppError, appError } from '../errors/index.js';
import type { Configuration } from '../resources/index.js';
import type { Decider, Millis, QueueName, Random, RequestId, TeamName } from '../types/index.js';
import { Admission, OPEN_TEAM } from './admission.js';
import { type ExecutorChooser, LeastOutstanding } from './choosers.js';
import type { Executor } from './executor.js';
import { ExecutorTable } from './executor-table.js';
import { FleetShares } from './fleet-shares.js';
import { Heap } from './heap.js';
import { Lane } from './lane.js';
import type { Arrival, DemandRow, RequestDecision, RequestEvent } from './messages.js';
import { OpenRequest } from './open-request.js';
import { RetryPolicy } from './retry-policy.js';
import { TeamLimiter } from './team-limiter.js';

/** Waiting work per queue at one entry. */
export const QUEUE_CAPACITY = 10_000;

export interface RequestDeciderOptions {
  readonly random: Random;
  readonly chooser?: ExecutorChooser;
  /** Bound on the waiting work of each queue. */
  readonly queueCapacity?: number;
}

type AttemptEnded = Extract<RequestEvent, { type: 'attempt-ended' }>;

/** Decides which request runs where and when at one entry. Each request gets one outcome. */
export class RequestDecider implements Decider<RequestEvent, RequestDecision> {
  readonly #admission = new Admission();
  readonly #limiter = new TeamLimiter();
  readonly #executors = new ExecutorTable();
  readonly #shares = new FleetShares();
  readonly #retryPolicy = new RetryPolicy();
  readonly #chooser: ExecutorChooser;
  readonly #capacity: number;
  readonly #open = new Map<RequestId, OpenRequest>();
  readonly #lanes = new Map<QueueName, Lane>();
  readonly #deadlines = new Heap<OpenRequest>((a, b) => a.deadline < b.deadline);
  #stopping = false;
  #out: RequestDecision[] = [];

  constructor(options: RequestDeciderOptions) {
    this.#chooser = options.chooser ?? new LeastOutstanding(options.random);
    this.#capacity = options.queueCapacity ?? QUEUE_CAPACITY;
  }

  handle(event: RequestEvent, now: Millis): readonly RequestDecision[] {
    this.#out = [];
    this.#expire(now);
    this.#apply(event, now);
    for (const lane of this.#lanes.values()) {
      this.#pump(lane, now);
    }
    return this.#out;
  }

  /** Waiting and running work of this entry, for the other entries. */
  demand(): readonly DemandRow[] {
    return [...this.#lanes.values()].flatMap((lane) => lane.demand());
  }

  #apply(event: RequestEvent, now: Millis): void {
    switch (event.type) {
      case 'config-changed':
        this.#configure(event.cfg);
        return;
      case 'arrived':
        this.#arrived(event.arrival, now);
        return;
      case 'attempt-ended':
        this.#attemptEnded(event, now);
        return;
      case 'cancelled':
        this.#cancelled(event.id);
        return;
      case 'grants-changed':
        this.#limiter.grant(event.units, event.validUntil);
        this.#unparkAll();
        return;
      case 'freshness':
        this.#admission.confirm(event.until);
        return;
      case 'peer-demand':
        this.#shares.replace(event.member, event.rows, now);
        return;
      case 'upstream-state':
        this.#executors.setSignal(event.upstream, event.state);
        return;
      case 'stopping':
        this.#stopping = true;
        return;
      case 'tick':
        return;
    }
  }

  #configure(cfg: Configuration): void {
    this.#admission.configure(cfg);
    this.#executors.configure(cfg);
    this.#unparkAll();
  }

  #arrived(arrival: Arrival, now: Millis): void {
    if (this.#open.has(arrival.id)) {
      return;
    }
    const team = this.#admission.teamOf(arrival, now);
    if (this.#stopping) {
      this.#out.push({ type: 'refuse', id: arrival.id, err: appError('not-ready', 'stopping') });
    } else if (team.isErr()) {
      this.#out.push({ type: 'refuse', id: arrival.id, err: team.error });
    } else {
      const deadline = this.#admission.deadlineOf(arrival, now);
      this.#accept(new OpenRequest(arrival, team.value, deadline), now);
    }
  }

  #accept(req: OpenRequest, now: Millis): void {
    const lane = this.#laneOf(req.arrival.queue);
    this.#open.set(req.id, req);
    this.#retryPolicy.accepted(now);
    lane.fair.push(req);
    this.#deadlines.push(req);
  }

  #attemptEnded(event: AttemptEnded, now: Millis): void {
    const req = this.#open.get(event.id);
    if (req?.upstream !== event.upstream) {
      return;
    }
    this.#attemptLeft(req, event, now);
    const { type } = event.result;
    if (type === 'answered' || type === 'cut') {
      this.#open.delete(req.id);
      return;
    }
    req.attemptFailed(event.upstream, type);
    const { idempotent } = req.arrival;
    if (req.cancelled) {
      this.#refuse(req, appError('caller-gone'));
    } else if (
      this.#retryPolicy.allows({ idempotent, result: type, deadline: req.deadline }, now)
    ) {
      this.#laneOf(req.arrival.queue).hold(req);
      this.#deadlines.push(req);
    } else {
      this.#refuse(req, appError('deadline-passed'));
    }
  }

  #attemptLeft(req: OpenRequest, event: AttemptEnded, now: Millis): void {
    const lane = this.#laneOf(req.arrival.queue);
    if (event.load !== undefined) {
      this.#executors.report(event.upstream, event.load, now);
    }
    this.#executors.ended(event.upstream, event.result.type, req.cancelled, now);
    req.upstream = undefined;
    lane.ended(req.team);
    this.#limiter.release(req.team);
    for (const each of this.#lanes.values()) {
      each.fair.unpark(req.team);
    }
  }

  #cancelled(id: RequestId): void {
    const req = this.#open.get(id);
    if (req === undefined || req.cancelled) {
      return;
    }
    if (req.upstream === undefined) {
      this.#laneOf(req.arrival.queue).remove(id);
      this.#refuse(req, appError('caller-gone'));
    } else {
      req.cancelled = true;
      this.#out.push({ type: 'abort', id });
    }
  }

  #expire(now: Millis): void {
    for (let top = this.#deadlines.peek(); top !== undefined; top = this.#deadlines.peek()) {
      if (top.deadline > now) {
        return;
      }
      this.#deadlines.pop();
      if (this.#open.get(top.id) === top && top.upstream === undefined) {
        this.#laneOf(top.arrival.queue).remove(top.id);
        this.#refuse(top, appError('deadline-passed'));
      }
    }
  }

  #pump(lane: Lane, now: Millis): void {
    this.#pumpRetry(lane, now);
    while (lane.fair.waiting > 0) {
      const executor = this.#choose(lane, now);
      const req = executor && lane.fair.take((team) => this.#mayRun(team, now));
      if (executor === undefined || req === undefined) {
        return;
      }
      this.#start(lane, req, executor, now);
    }
  }

  #pumpRetry(lane: Lane, now: Millis): void {
    const req = lane.takeRetry();
    if (req === undefined) {
      return;
    }
    const executor = this.#choose(lane, now, req);
    if (executor !== undefined && this.#mayRun(req.team, now)) {
      this.#start(lane, req, executor, now);
    } else {
      lane.hold(req);
    }
  }

  #choose(lane: Lane, now: Millis, req?: OpenRequest): Executor | undefined {
    const pool = this.#admission.cfg.spec('queue', lane.queue)?.pool;
    const all = this.#executors.ofPool(pool ?? '');
    const open = all.filter((each) => each.open(now) && (req?.mayTry(each.name) ?? true));
    return this.#chooser.choose(open, now);
  }

  #mayRun(team: TeamName, now: Millis): boolean {
    return team === OPEN_TEAM || this.#limiter.free(team, now);
  }

  #start(lane: Lane, req: OpenRequest, executor: Executor, now: Millis): void {
    const team = this.#admission.recheck(req.arrival, req.team, now);
    if (team.isErr()) {
      this.#refuse(req, team.error);
      return;
    }
    req.attempts += 1;
    req.upstream = executor.name;
    req.startedAt = now;
    this.#limiter.acquire(req.team);
    this.#executors.started(executor.name);
    lane.started(req.team);
    const { id, attempts: attempt, deadline } = req;
    this.#out.push({ type: 'send', id, upstream: executor.name, attempt, deadline });
  }

  #refuse(req: OpenRequest, err: AppError): void {
    this.#open.delete(req.id);
    this.#out.push({ type: 'refuse', id: req.id, err: req.truthful(err) });
  }

  #unparkAll(): void {
    for (const lane of this.#lanes.values()) {
      lane.fair.unparkAll();
    }
  }

  #laneOf(queue: QueueName): Lane {
    const known = this.#lanes.get(queue);
    if (known !== undefined) {
      return known;
    }
    const lane = new Lane(queue, this.#capacity);
    this.#lanes.set(queue, lane);
    return lane;
  }
}
