import { type AppError, appError } from '../errors/index.js';
import type { Configuration } from '../resources/index.js';
import type { MemberId, Millis, TeamName, UpstreamName } from '../types/index.js';
import { type Admission, OPEN_TEAM } from './admission.js';
import type { ExecutorChooser } from './choosers.js';
import type { Executor } from './executor.js';
import { ExecutorSelector } from './executor-selector.js';
import { ExecutorTable } from './executor-table.js';
import { FleetAllocator } from './fleet-allocator.js';
import type { QueueState } from './queue-state.js';
import { QueueTable } from './queue-table.js';
import type { AttemptResult, DemandRow, LoadReport } from './messages.js';
import type { PendingRequest } from './pending-request.js';
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
  readonly queues: QueueTable;
  readonly #selector: ExecutorSelector;
  readonly #allocator: FleetAllocator;
  readonly #options: SchedulerOptions;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.queues = new QueueTable(options.queueCapacity, this.#teamShare);
    this.#selector = new ExecutorSelector(options, this.executors);
    this.#allocator = new FleetAllocator(options.self);
  }

  configure(cfg: Configuration, now: Millis): void {
    this.executors.configure(cfg);
    for (const queue of this.queues.all) {
      this.#updateQueueWeights(queue, now);
    }
    this.queues.unthrottleAll();
  }

  setGrants(units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.limiter.setGrants(units, validUntil);
    this.queues.unthrottleAll();
  }

  membersChanged(members: readonly MemberId[]): void {
    this.#selector.membersChanged(members);
  }

  /** Replaces the demand of another entry and updates the weights of a queue that is due. */
  setPeerDemand(member: MemberId, rows: readonly DemandRow[], now: Millis): void {
    this.#allocator.setPeerDemand(member, rows, now);
    this.updateWeights(now);
  }

  /** Records the outcome of an attempt and releases its unit. */
  attemptEnded(req: PendingRequest, end: AttemptReport, now: Millis): void {
    const queue = this.queues.get(req.arrival.queue);
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
    this.queues.unthrottle(req.team);
  }

  /** Starts every request that can start. Queues take turns in going first (round robin). */
  dispatch(now: Millis): void {
    for (const queue of this.queues.nextRotation()) {
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
    const due = this.queues.all.find(
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
    return this.#selector.executorsOf(queue);
  }

  readonly #teamShare = (team: TeamName): number =>
    this.#options.admission.cfg.spec('team', team)?.share ?? 1;

  #updateQueueWeights(queue: QueueState, now: Millis): void {
    const slots = this.#selector.slotsOf(queue);
    const input = { queue: queue.name, ownDemand: queue.demand(), shareOf: this.#teamShare, slots };
    const allocation = this.#allocator.allocate(input, now);
    queue.fairQueue.setWeights(allocation.weightOf);
    queue.slotInterval = allocation.slotInterval;
    queue.weightsUpdatedAt = now;
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
      const executor = this.#selector.select(queue, now);
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
    if (!this.#selector.canStillRun(queue, req)) {
      this.#options.sink.refuse(req, { kind: 'no-upstream' });
      return true;
    }
    const executor = this.#selector.select(queue, now, req);
    if (executor === undefined || !this.mayRun(req.team, now)) {
      queue.addRetry(req);
      return false;
    }
    this.#start(queue, req, executor, now);
    return true;
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
