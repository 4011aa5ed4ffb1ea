import { type AppError, appError } from '../errors/index.js';
import type { Decider, MemberId, Millis, Random, RequestId, TeamName } from '../types/index.js';
import { Admission } from './admission.js';
import { type ExecutorChooser, ReportedLoad } from './choosers.js';
import { Heap } from './heap.js';
import { IdempotencyTable } from './idempotency-table.js';
import type { QueueState } from './queue-state.js';
import type {
  Arrival,
  DemandRow,
  RequestDecision,
  RequestEvent,
  WaitingReason,
} from './messages.js';
import { PendingRequest } from './pending-request.js';
import { RetryPolicy } from './retry-policy.js';
import { Scheduler } from './scheduler.js';
import { waitingReasons } from './waiting-reasons.js';

/** Maximum number of waiting requests per queue at one entry. */
const DEFAULT_QUEUE_CAPACITY = 10_000;
/**
 * Retry-After of a full queue is the time until this fraction of its waiting requests has started.
 */
const RETRY_AFTER_DRAIN_RATIO = 0.1;
/** The deadline heap is compacted when it exceeds twice the pending requests by more than this. */
const DEADLINE_HEAP_SLACK = 64;

export interface RequestDeciderOptions {
  readonly random: Random;
  /** Id of this entry. */
  readonly self?: MemberId;
  readonly chooser?: ExecutorChooser;
  /** Maximum number of waiting requests per queue. */
  readonly queueCapacity?: number;
  /** Idempotency keys whose home is this entry. Shared with claims received from other entries. */
  readonly idempotency?: IdempotencyTable;
}

type AttemptEndedEvent = Extract<RequestEvent, { type: 'attempt-ended' }>;

/**
 * Decides when and on which executor each request of an entry runs. Each request gets one outcome.
 */
export class RequestDecider implements Decider<RequestEvent, RequestDecision> {
  readonly #admission = new Admission();
  readonly #retryPolicy = new RetryPolicy();
  readonly #idempotency: IdempotencyTable;
  readonly #scheduler: Scheduler;
  readonly #pending = new Map<RequestId, PendingRequest>();
  readonly #deadlines = new Heap<PendingRequest>((a, b) => a.deadline < b.deadline);
  #stopping = false;
  #now: Millis = 0;
  #decisions: RequestDecision[] = [];

  constructor(options: RequestDeciderOptions) {
    this.#idempotency = options.idempotency ?? new IdempotencyTable();
    this.#scheduler = new Scheduler({
      admission: this.#admission,
      chooser: options.chooser ?? new ReportedLoad(options.random),
      queueCapacity: options.queueCapacity ?? DEFAULT_QUEUE_CAPACITY,
      self: options.self ?? '',
      sink: {
        send: (req, upstream) => {
          const { id, attempts: attempt, deadline } = req;
          this.#decisions.push({ type: 'send', id, upstream, attempt, deadline });
        },
        refuse: (req, err) => {
          this.#refuse(req, err);
        },
      },
    });
  }

  handle(event: RequestEvent, now: Millis): readonly RequestDecision[] {
    this.#decisions = [];
    this.#now = now;
    this.#expireDeadlines();
    this.#apply(event);
    this.#scheduler.dispatch(now);
    if (event.type === 'arrived') {
      this.#refuseIfTooLate(event.arrival);
    }
    return this.#decisions;
  }

  /** Waiting and running requests of this entry, to be sent to the other entries. */
  demand(): readonly DemandRow[] {
    return this.#scheduler.queues.demand();
  }

  /** Why requests of the team wait, for each queue in which some do. */
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
        this.#scheduler.setGrants(event.units, event.validUntil);
        return;
      case 'freshness':
        this.#admission.confirmUntil(event.until);
        return;
      case 'peer-demand':
        this.#scheduler.setPeerDemand(event.member, event.rows, this.#now);
        return;
      case 'members-changed':
        this.#scheduler.membersChanged(event.members);
        return;
      case 'upstream-state':
        this.#scheduler.executors.setReportedState(event.upstream, event.state);
        return;
      case 'stopping':
        this.#stopping = true;
        return;
      case 'tick':
        this.#scheduler.updateWeights(this.#now);
        return;
    }
  }

  #arrived(arrival: Arrival): void {
    if (this.#pending.has(arrival.id)) {
      return;
    }
    if (this.#stopping) {
      this.#rejectArrival(arrival, appError('not-ready', 'the entry is stopping'));
      return;
    }
    const team = this.#admission.teamOf(arrival, this.#now);
    if (team.isErr()) {
      this.#rejectArrival(arrival, team.error);
      return;
    }
    const deadline = this.#admission.deadlineOf(arrival, this.#now);
    this.#accept(new PendingRequest(arrival, team.value, deadline));
  }

  #accept(req: PendingRequest): void {
    const queue = this.#scheduler.queues.get(req.arrival.queue);
    const error = this.#admissionError(req, queue) ?? this.#claimIdempotencyKey(req);
    if (error !== undefined) {
      this.#rejectArrival(req.arrival, error);
      return;
    }
    this.#pending.set(req.id, req);
    this.#retryPolicy.recordRequest(this.#now);
    queue.fairQueue.push(req);
    this.#trackDeadline(req);
  }

  /** Returns the reason why the request cannot be accepted, if any. */
  #admissionError(req: PendingRequest, queue: QueueState): AppError | undefined {
    if (req.deadline <= this.#now) {
      return appError('deadline-passed');
    }
    if (this.#admission.limitOf(req.team) === 0) {
      return appError('team-limit', 'the limit of the team is 0');
    }
    if (this.#scheduler.executorsOf(queue).length === 0) {
      return appError('no-upstream');
    }
    if (!queue.fairQueue.hasRoomFor(req.team, req.workClass)) {
      return appError('queue-full', undefined, queue.timeToDrain(RETRY_AFTER_DRAIN_RATIO));
    }
    return undefined;
  }

  #claimIdempotencyKey(req: PendingRequest): AppError | undefined {
    const key = req.idempotencyKey;
    const claim = key === undefined ? undefined : this.#idempotency.claim(key, this.#now);
    return claim?.isErr() === true ? claim.error : undefined;
  }

  /** Refuses a new request that still waits and is not expected to complete by its deadline. */
  #refuseIfTooLate(arrival: Arrival): void {
    const req = this.#pending.get(arrival.id);
    if (req?.arrival !== arrival || req.attempts > 0) {
      return;
    }
    const queue = this.#scheduler.queues.get(arrival.queue);
    const limit = this.#admission.limitOf(req.team);
    const wait = queue.estimatedWait(req.team, req.workClass, limit) ?? 0;
    const tooLateBy = this.#now + wait + queue.serviceRate.typicalMs - req.deadline;
    if (tooLateBy > 0) {
      queue.remove(req.id);
      this.#refuse(req, appError('deadline-unreachable', undefined, Math.ceil(tooLateBy)));
    }
  }

  #attemptEnded(event: AttemptEndedEvent): void {
    const req = this.#pending.get(event.id);
    const attempt = event.attempt ?? req?.attempts;
    if (req?.upstream !== event.upstream || req.attempts !== attempt) {
      return;
    }
    this.#scheduler.attemptEnded(req, event, this.#now);
    const { type } = event.result;
    if (type === 'answered' || type === 'cut') {
      this.#finish(req, true);
      return;
    }
    req.recordFailure(event.upstream, type);
    const { idempotent } = req.arrival;
    if (req.cancelled) {
      this.#refuse(req, appError('caller-gone'));
    } else if (
      this.#retryPolicy.allows({ idempotent, result: type, deadline: req.deadline }, this.#now)
    ) {
      this.#scheduler.queues.get(req.arrival.queue).addRetry(req);
      this.#trackDeadline(req);
    } else {
      this.#refuse(req, req.lastFailure ?? appError('deadline-passed'));
    }
  }

  #cancelled(id: RequestId): void {
    const req = this.#pending.get(id);
    if (req === undefined || req.cancelled) {
      return;
    }
    if (req.upstream === undefined) {
      this.#scheduler.queues.get(req.arrival.queue).remove(id);
      this.#refuse(req, appError('caller-gone'));
    } else {
      req.cancelled = true;
      this.#decisions.push({ type: 'abort', id });
    }
  }

  /** Tracks the deadline of a waiting request. */
  #trackDeadline(req: PendingRequest): void {
    this.#deadlines.push(req);
    if (this.#deadlines.size > 2 * this.#pending.size + DEADLINE_HEAP_SLACK) {
      this.#deadlines.retain((each) => this.#isWaiting(each));
    }
  }

  #isWaiting(req: PendingRequest): boolean {
    return this.#pending.get(req.id) === req && req.upstream === undefined;
  }

  #expireDeadlines(): void {
    for (let top = this.#deadlines.peek(); top !== undefined; top = this.#deadlines.peek()) {
      if (top.deadline > this.#now) {
        return;
      }
      this.#deadlines.pop();
      if (this.#isWaiting(top)) {
        this.#expireRequest(top);
      }
    }
  }

  #expireRequest(req: PendingRequest): void {
    const queue = this.#scheduler.queues.get(req.arrival.queue);
    queue.remove(req.id);
    const inService = this.#scheduler.executorsOf(queue).some((each) => each.inService);
    const kind = inService ? 'deadline-passed' : 'no-upstream';
    this.#refuse(req, appError(kind, undefined, queue.timeToDrain(1)));
  }

  #rejectArrival(arrival: Arrival, err: AppError): void {
    this.#decisions.push({ type: 'refuse', id: arrival.id, err });
  }

  #refuse(req: PendingRequest, err: AppError): void {
    this.#finish(req, req.mayHaveRun);
    this.#decisions.push({ type: 'refuse', id: req.id, err: req.correctOutcome(err) });
  }

  #finish(req: PendingRequest, mayHaveRun: boolean): void {
    this.#pending.delete(req.id);
    if (req.idempotencyKey !== undefined) {
      this.#idempotency.settle(req.idempotencyKey, mayHaveRun, this.#now);
    }
  }
}
