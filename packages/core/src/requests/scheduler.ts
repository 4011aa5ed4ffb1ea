import { type AppError, appError } from '../errors/index.js';
import type { Configuration } from '../resources/index.js';
import type { MemberId, Millis, QueueName, TeamName, UpstreamName } from '../types/index.js';
import { type Admission, OPEN_TEAM } from './admission.js';
import type { ChoiceContext, ExecutorChooser } from './choosers.js';
import type { Executor } from './executor.js';
import { ExecutorTable } from './executor-table.js';
import { FleetAllocator } from './fleet-allocator.js';
import { QueueState } from './queue-state.js';
import type { AttemptResult, DemandRow, LoadReport } from './messages.js';
import type { PendingRequest } from './pending-request.js';
import { slotsWithin } from './slot-interval.js';
import { TeamLimiter } from './team-limiter.js';

/** Minimum time between two updates of the local weights of a queue. */
const WEIGHT_UPDATE_INTERVAL_MS = 250;
/**
 * A timeout affects the health of the executor only if the attempt ran for this multiple of the
 * typical duration. Under overload requests start shortly before their deadlines, and counting
 * those timeouts ejected half of a pool.
 */
const CONCLUSIVE_TIMEOUT_RATIO = 3;

/** Receives the decisions of the scheduler. */
export interface SchedulerSink {
  send(req: PendingRequest, upstream: UpstreamName): void;
  refuse(req: PendingRequest, err: AppError): void;
}

export interface SchedulerOptions {
  readonly admission: Admission;
  readonly chooser: ExecutorChooser;
  readonly sink: SchedulerSink;
  readonly queueCapacity: number;
  readonly self: MemberId;
}

/** Outcome of one attempt, with the load that the upstream reported. */
export interface AttemptReport {
  readonly upstream: UpstreamName;
  readonly result: AttemptResult;
  readonly load?: LoadReport;
}

/** Starts waiting requests on executors, within the units of their teams. */
export class Scheduler {
  readonly limiter = new TeamLimiter();
  readonly executors = new ExecutorTable();
  readonly allocator: FleetAllocator;
  readonly #options: SchedulerOptions;
  readonly #queues = new Map<QueueName, QueueState>();
  #members: readonly MemberId[] = [];
  #firstQueue = 0;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.allocator = new FleetAllocator(options.self);
  }

  get queues(): readonly QueueState[] {
    return [...this.#queues.values()];
  }

  configure(cfg: Configuration, now: Millis): void {
    this.executors.configure(cfg);
    for (const queue of this.#queues.values()) {
      this.#updateQueueWeights(queue, now);
    }
    this.#unthrottleAll();
  }

  setGrants(units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.limiter.setGrants(units, validUntil);
    this.#unthrottleAll();
  }

  membersChanged(members: readonly MemberId[]): void {
    this.#members = [...members].sort();
  }

  queueStateOf(name: QueueName): QueueState {
    const existing = this.#queues.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const queue = new QueueState(name, this.#options.queueCapacity);
    queue.fairQueue.setWeights(this.#teamShare);
    this.#queues.set(name, queue);
    return queue;
  }

  demand(): readonly DemandRow[] {
    return this.queues.flatMap((queue) => queue.demand());
  }

  /** Records the outcome of an attempt and releases its unit. */
  attemptEnded(req: PendingRequest, end: AttemptReport, now: Millis): void {
    const queue = this.queueStateOf(req.arrival.queue);
    if (end.result.type === 'answered') {
      queue.serviceRate.recordDuration(now - req.attemptStartedAt);
    }
    this.executors.attemptEnded(
      end.upstream,
      end.result.type,
      isInconclusive(req, end, queue, now),
      now,
    );
    if (end.load !== undefined) {
      this.executors.recordLoad(end.upstream, end.load, now);
    }
    req.upstream = undefined;
    queue.attemptEnded(req.team, now);
    this.limiter.release(req.team);
    for (const each of this.#queues.values()) {
      each.fairQueue.unthrottle(req.team);
    }
  }

  /** Starts every request that can start. Queues take turns in going first (round robin). */
  dispatch(now: Millis): void {
    const queues = this.queues;
    this.#firstQueue = (this.#firstQueue + 1) % Math.max(1, queues.length);
    const rotated = [...queues.slice(this.#firstQueue), ...queues.slice(0, this.#firstQueue)];
    for (const queue of rotated) {
      if (queue.waiting > 0) {
        this.#dispatchQueue(queue, now);
      }
    }
  }

  /**
   * Updates the local weights of one queue that is due. Updating all queues at once would delay
   * requests by several milliseconds with 300 teams in 5 queues at 8 entries.
   */
  updateWeights(now: Millis): void {
    const due = this.queues.find(
      (queue) => now - queue.weightsUpdatedAt >= WEIGHT_UPDATE_INTERVAL_MS,
    );
    if (due !== undefined) {
      this.#updateQueueWeights(due, now);
    }
  }

  /**
   * Whether the team may start another request: within its grant, and within a limit lowered since.
   */
  mayRun(team: TeamName, now: Millis): boolean {
    if (team === OPEN_TEAM) {
      return true;
    }
    const belowLimit = this.limiter.running(team) < this.#options.admission.limitOf(team);
    return belowLimit && this.limiter.hasFreeUnit(team, now);
  }

  /** Configured executors of the queue. */
  executorsOf(queue: QueueState): readonly Executor[] {
    return this.executors.inPool(this.#poolName(queue));
  }

  readonly #teamShare = (team: TeamName): number =>
    this.#options.admission.cfg.spec('team', team)?.share ?? 1;

  #poolName(queue: QueueState): string {
    return this.#options.admission.cfg.spec('queue', queue.name)?.pool ?? '';
  }

  #updateQueueWeights(queue: QueueState, now: Millis): void {
    const slots = this.executors.slotsInService(this.#poolName(queue));
    const input = { queue: queue.name, ownDemand: queue.demand(), shareOf: this.#teamShare, slots };
    const allocation = this.allocator.allocate(input, now);
    queue.fairQueue.setWeights(allocation.weightOf);
    queue.slotInterval = allocation.slotInterval;
    queue.weightsUpdatedAt = now;
  }

  #unthrottleAll(): void {
    for (const queue of this.#queues.values()) {
      queue.fairQueue.unthrottleAll();
    }
  }

  #dispatchQueue(queue: QueueState, now: Millis): void {
    if (this.#options.admission.cfg.spec('queue', queue.name) === undefined) {
      this.#refuseAll(queue, now);
      return;
    }
    while (this.#dispatchRetry(queue, now)) {
      // Each iteration starts or refuses one request.
    }
    while (queue.fairQueue.waiting > 0) {
      const executor = this.#chooseExecutor(queue, now);
      const req = executor && queue.fairQueue.takeNext((team) => this.mayRun(team, now));
      if (executor === undefined || req === undefined) {
        return;
      }
      if (queue.waiting > 0 && queue.wouldMissDeadline(req, now)) {
        const drainMs = queue.timeToDrain(1);
        this.#options.sink.refuse(
          req,
          appError(
            'deadline-unreachable',
            'cannot complete in time, and other requests wait',
            drainMs,
          ),
        );
      } else {
        this.#start(queue, req, executor, now);
      }
    }
  }

  /** Refuses all requests of a deleted queue, for the reason that `recheck` gives. */
  #refuseAll(queue: QueueState, now: Millis): void {
    for (const req of queue.takeAll()) {
      const team = this.#options.admission.recheck(req.arrival, req.team, now);
      if (team.isErr()) {
        this.#options.sink.refuse(req, team.error);
      }
    }
  }

  /**
   * Starts or refuses one request that waits for a retry. Returns `false` if there is none or it
   * cannot start now. In that case it moves to the end, which bounds the cost of an event and lets
   * the next event try another request.
   */
  #dispatchRetry(queue: QueueState, now: Millis): boolean {
    const req = queue.takeRetry();
    if (req === undefined) {
      return false;
    }
    if (!this.#canStillRun(queue, req)) {
      this.#options.sink.refuse(req, { kind: 'no-upstream' });
      return true;
    }
    const executor = this.#chooseExecutor(queue, now, req);
    if (executor === undefined || !this.mayRun(req.team, now)) {
      queue.addRetry(req);
      return false;
    }
    this.#start(queue, req, executor, now);
    return true;
  }

  /**
   * Whether the request can still run on some executor. A request that may have run needs an
   * executor on which it has not failed. If no executor is left to try, those that refused the
   * request become eligible again.
   */
  #canStillRun(queue: QueueState, req: PendingRequest): boolean {
    const usable = this.executorsOf(queue).filter((each) => each.inService);
    if (!usable.some((each) => req.canTry(each.name))) {
      req.clearRefusals();
    }
    return !req.mayHaveRun || usable.some((each) => !req.failedOn(each.name));
  }

  #chooseExecutor(queue: QueueState, now: Millis, req?: PendingRequest): Executor | undefined {
    const eligible = this.executorsOf(queue).filter(
      (each) =>
        each.acceptsAttempt(now) && hasSlotFor(queue, each) && (req?.canTry(each.name) ?? true),
    );
    return this.#options.chooser.choose(eligible, this.#choiceContext(now));
  }

  #choiceContext(now: Millis): ChoiceContext {
    const rank = this.#members.indexOf(this.#options.self);
    return { now, entries: Math.max(1, this.#members.length), rank: Math.max(0, rank) };
  }

  #start(queue: QueueState, req: PendingRequest, executor: Executor, now: Millis): void {
    const team = this.#options.admission.recheck(req.arrival, req.team, now);
    if (team.isErr()) {
      this.#options.sink.refuse(req, team.error);
      return;
    }
    req.attempts += 1;
    req.upstream = executor.name;
    req.attemptStartedAt = now;
    this.limiter.acquire(req.team);
    this.executors.attemptStarted(executor.name);
    queue.attemptStarted(req.team, now);
    this.#options.sink.send(req, executor.name);
  }
}

/**
 * Whether the executor has a slot for this entry. An entry with nothing running always gets one.
 */
function hasSlotFor(queue: QueueState, executor: Executor): boolean {
  const { slotInterval: slots, running } = queue;
  if (slots === undefined || running === 0) {
    return true;
  }
  return executor.outstanding < slotsWithin(slots, executor.slots, executor.roundingPhase);
}

/**
 * Whether the result says nothing about the executor: the caller left or allowed too little time.
 */
function isInconclusive(
  req: PendingRequest,
  end: AttemptReport,
  queue: QueueState,
  now: Millis,
): boolean {
  const tooShort =
    now - req.attemptStartedAt < CONCLUSIVE_TIMEOUT_RATIO * queue.serviceRate.typicalMs;
  return req.cancelled || (end.result.type === 'timed-out' && tooShort);
}
