import { type AppError, appError } from '../errors/index.js';
import type { Decider, MemberId, Millis, Random, RequestId, TeamName } from '../types/index.js';
import { Admission } from './admission.js';
import { type ExecutorChooser, ReportedLoad } from './choosers.js';
import { Heap } from './heap.js';
import { IdempotencyTable } from './idempotency-table.js';
import type { Lane } from './lane.js';
import type {
  Arrival,
  DemandRow,
  RequestDecision,
  RequestEvent,
  WaitingReason,
} from './messages.js';
import { OpenRequest } from './open-request.js';
import { RetryPolicy } from './retry-policy.js';
import { Scheduler } from './scheduler.js';
import { waitingReasons } from './waiting-reasons.js';

/** Waiting work per queue at one entry. */
export const QUEUE_CAPACITY = 10_000;
/** A full queue asks callers to come back when this part of it has been served. */
const DRAINED_PART = 0.1;
/** Ended requests may stay in the deadline heap up to this number beyond the open ones. */
const DEADLINE_SLACK = 64;

export interface RequestDeciderOptions {
  readonly random: Random;
  /** Id of this entry. */
  readonly self?: MemberId;
  readonly chooser?: ExecutorChooser;
  /** Bound on the waiting work of each queue. */
  readonly queueCapacity?: number;
  /** Keys whose home is this entry, shared with the claims of other entries. */
  readonly idempotency?: IdempotencyTable;
}

type AttemptEnded = Extract<RequestEvent, { type: 'attempt-ended' }>;

/** Decides which request runs where and when at one entry. Each request gets one outcome. */
export class RequestDecider implements Decider<RequestEvent, RequestDecision> {
  readonly #admission = new Admission();
  readonly #retryPolicy = new RetryPolicy();
  readonly #idempotency: IdempotencyTable;
  readonly #scheduler: Scheduler;
  readonly #open = new Map<RequestId, OpenRequest>();
  readonly #deadlines = new Heap<OpenRequest>((a, b) => a.deadline < b.deadline);
  #stopping = false;
  #now: Millis = 0;
  #out: RequestDecision[] = [];

  constructor(options: RequestDeciderOptions) {
    this.#idempotency = options.idempotency ?? new IdempotencyTable();
    this.#scheduler = new Scheduler({
      admission: this.#admission,
      chooser: options.chooser ?? new ReportedLoad(options.random),
      queueCapacity: options.queueCapacity ?? QUEUE_CAPACITY,
      self: options.self ?? '',
      sink: {
        send: (req, upstream) => {
          const { id, attempts: attempt, deadline } = req;
          this.#out.push({ type: 'send', id, upstream, attempt, deadline });
        },
        refuse: (req, err) => {
          this.#refuse(req, err);
        },
      },
    });
  }

  handle(event: RequestEvent, now: Millis): readonly RequestDecision[] {
    this.#out = [];
    this.#now = now;
    this.#expire();
    this.#apply(event);
    this.#scheduler.pump(now);
    if (event.type === 'arrived') {
      this.#refuseIfTooLate(event.arrival);
    }
    return this.#out;
  }

  /** Waiting and running work of this entry, for the other entries. */
  demand(): readonly DemandRow[] {
    return this.#scheduler.demand();
  }

  /** Why work of the team waits, for each queue in which it does. */
  waitingReasons(team: TeamName, now: Millis): readonly WaitingReason[] {
    return waitingReasons(team, this.#scheduler, this.#admission, now);
  }

  #apply(event: RequestEvent): void {
    switch (event.type) {
      case 'config-changed':
        this.#admission.configure(event.cfg);
        this.#scheduler.configure(event.cfg, this.#now);
        return;
      case 'arrived':
        this.#arrived(event.arrival);
        return;
      case 'attempt-ended':
        this.#attemptEnded(event);
        return;
      case 'cancelled':
        this.#cancelled(event.id);
        return;
      case 'grants-changed':
        this.#scheduler.grant(event.units, event.validUntil);
        return;
      case 'freshness':
        this.#admission.confirm(event.until);
        return;
      case 'peer-demand':
        this.#scheduler.shares.replace(event.member, event.rows, this.#now);
        this.#scheduler.reweigh(this.#now);
        return;
      case 'members-changed':
        this.#scheduler.membersChanged(event.members);
        return;
      case 'upstream-state':
        this.#scheduler.executors.setSignal(event.upstream, event.state);
        return;
      case 'stopping':
        this.#stopping = true;
        return;
      case 'tick':
        this.#scheduler.reweigh(this.#now);
        return;
    }
  }

  #arrived(arrival: Arrival): void {
    if (this.#open.has(arrival.id)) {
      return;
    }
    if (this.#stopping) {
      this.#turnAway(arrival, appError('not-ready', 'the entry stops'));
      return;
    }
    const team = this.#admission.teamOf(arrival, this.#now);
    if (team.isErr()) {
      this.#turnAway(arrival, team.error);
      return;
    }
    const deadline = this.#admission.deadlineOf(arrival, this.#now);
    this.#accept(new OpenRequest(arrival, team.value, deadline));
  }

  #accept(req: OpenRequest): void {
    const lane = this.#scheduler.laneOf(req.arrival.queue);
    const obstacle = this.#obstacle(req, lane) ?? this.#claim(req);
    if (obstacle !== undefined) {
      this.#turnAway(req.arrival, obstacle);
      return;
    }
    this.#open.set(req.id, req);
    this.#retryPolicy.accepted(this.#now);
    lane.fair.push(req);
    this.#await(req);
  }

  /** What rules out that the request can run here. */
  #obstacle(req: OpenRequest, lane: Lane): AppError | undefined {
    if (req.deadline <= this.#now) {
      return appError('deadline-passed');
    }
    if (this.#admission.limitOf(req.team) === 0) {
      return appError('team-limit', 'the limit is 0');
    }
    if (this.#scheduler.executorsOf(lane).length === 0) {
      return appError('no-upstream');
    }
    if (!lane.fair.fits(req.team, req.workClass)) {
      return appError('queue-full', undefined, lane.timeToDrain(DRAINED_PART));
    }
    return undefined;
  }

  #claim(req: OpenRequest): AppError | undefined {
    const key = req.idempotencyKey;
    const claim = key === undefined ? undefined : this.#idempotency.claim(key, this.#now);
    return claim?.isErr() === true ? claim.error : undefined;
  }

  /** Refuses a new request that still waits and can't be expected to start in time. */
  #refuseIfTooLate(arrival: Arrival): void {
    const req = this.#open.get(arrival.id);
    if (req?.arrival !== arrival || req.attempts > 0) {
      return;
    }
    const lane = this.#scheduler.laneOf(arrival.queue);
    const limit = this.#admission.limitOf(req.team);
    const wait = lane.estimatedWait(req.team, req.workClass, limit) ?? 0;
    const tooLateBy = this.#now + wait + lane.meter.typicalMs - req.deadline;
    if (tooLateBy > 0) {
      lane.remove(req.id);
      this.#refuse(req, appError('deadline-unreachable', undefined, Math.ceil(tooLateBy)));
    }
  }

  #attemptEnded(event: AttemptEnded): void {
    const req = this.#open.get(event.id);
    const attempt = event.attempt ?? req?.attempts;
    if (req?.upstream !== event.upstream || req.attempts !== attempt) {
      return;
    }
    this.#scheduler.attemptEnded(req, event, this.#now);
    const { type } = event.result;
    if (type === 'answered' || type === 'cut') {
      this.#close(req, true);
      return;
    }
    req.attemptFailed(event.upstream, type);
    const { idempotent } = req.arrival;
    if (req.cancelled) {
      this.#refuse(req, appError('caller-gone'));
    } else if (
      this.#retryPolicy.allows({ idempotent, result: type, deadline: req.deadline }, this.#now)
    ) {
      this.#scheduler.laneOf(req.arrival.queue).hold(req);
      this.#await(req);
    } else {
      this.#refuse(req, req.failure ?? appError('deadline-passed'));
    }
  }

  #cancelled(id: RequestId): void {
    const req = this.#open.get(id);
    if (req === undefined || req.cancelled) {
      return;
    }
    if (req.upstream === undefined) {
      this.#scheduler.laneOf(req.arrival.queue).remove(id);
      this.#refuse(req, appError('caller-gone'));
    } else {
      req.cancelled = true;
      this.#out.push({ type: 'abort', id });
    }
  }

  /** Watches the deadline of a request while it waits. */
  #await(req: OpenRequest): void {
    this.#deadlines.push(req);
    if (this.#deadlines.size > 2 * this.#open.size + DEADLINE_SLACK) {
      this.#deadlines.retain((each) => this.#waits(each));
    }
  }

  #waits(req: OpenRequest): boolean {
    return this.#open.get(req.id) === req && req.upstream === undefined;
  }

  #expire(): void {
    for (let top = this.#deadlines.peek(); top !== undefined; top = this.#deadlines.peek()) {
      if (top.deadline > this.#now) {
        return;
      }
      this.#deadlines.pop();
      if (this.#waits(top)) {
        this.#expireOne(top);
      }
    }
  }

  #expireOne(req: OpenRequest): void {
    const lane = this.#scheduler.laneOf(req.arrival.queue);
    lane.remove(req.id);
    const inService = this.#scheduler.executorsOf(lane).some((each) => each.inService);
    const kind = inService ? 'deadline-passed' : 'no-upstream';
    this.#refuse(req, appError(kind, undefined, lane.timeToDrain(1)));
  }

  #turnAway(arrival: Arrival, err: AppError): void {
    this.#out.push({ type: 'refuse', id: arrival.id, err });
  }

  #refuse(req: OpenRequest, err: AppError): void {
    this.#close(req, req.mayHaveRun);
    this.#out.push({ type: 'refuse', id: req.id, err: req.truthful(err) });
  }

  #close(req: OpenRequest, mayHaveRun: boolean): void {
    this.#open.delete(req.id);
    if (req.idempotencyKey !== undefined) {
      this.#idempotency.settle(req.idempotencyKey, mayHaveRun, this.#now);
    }
  }
}
