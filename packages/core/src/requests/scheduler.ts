import { type AppError, appError } from '../errors/index.js';
import type { Configuration } from '../resources/index.js';
import type { MemberId, Millis, QueueName, TeamName, UpstreamName } from '../types/index.js';
import { type Admission, OPEN_TEAM } from './admission.js';
import type { ChoiceContext, ExecutorChooser } from './choosers.js';
import type { Executor } from './executor.js';
import { ExecutorTable } from './executor-table.js';
import { FleetShares } from './fleet-shares.js';
import { Lane } from './lane.js';
import type { AttemptResult, DemandRow, LoadReport } from './messages.js';
import type { OpenRequest } from './open-request.js';
import { slotsWithin } from './slot-part.js';
import { TeamLimiter } from './team-limiter.js';

/** Shortest time between two computations of the local weights of a queue. */
const REWEIGH_MS = 250;
/**
 * A timeout counts against the executor only if the attempt had this many typical durations. Under
 * overload work starts shortly before its deadline, and blaming those timeouts ejected half a pool.
 */
const BLAMED_TIMEOUT_RATIO = 3;

/** Receives what the scheduler decides about a request. */
export interface SchedulerSink {
  send(req: OpenRequest, upstream: UpstreamName): void;
  refuse(req: OpenRequest, err: AppError): void;
}

export interface SchedulerOptions {
  readonly admission: Admission;
  readonly chooser: ExecutorChooser;
  readonly sink: SchedulerSink;
  readonly queueCapacity: number;
  readonly self: MemberId;
}

/** How the attempt of a request ended. */
export interface AttemptEnd {
  readonly upstream: UpstreamName;
  readonly result: AttemptResult;
  readonly load?: LoadReport;
}

/** Starts waiting work on executors, within the units of its team. */
export class Scheduler {
  readonly limiter = new TeamLimiter();
  readonly executors = new ExecutorTable();
  readonly shares: FleetShares;
  readonly #options: SchedulerOptions;
  readonly #lanes = new Map<QueueName, Lane>();
  #members: readonly MemberId[] = [];
  #firstLane = 0;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    this.shares = new FleetShares(options.self);
  }

  get lanes(): readonly Lane[] {
    return [...this.#lanes.values()];
  }

  configure(cfg: Configuration, now: Millis): void {
    this.executors.configure(cfg);
    for (const lane of this.#lanes.values()) {
      this.#reweighLane(lane, now);
    }
    this.#unparkAll();
  }

  grant(units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.limiter.grant(units, validUntil);
    this.#unparkAll();
  }

  membersChanged(members: readonly MemberId[]): void {
    this.#members = [...members].sort();
  }

  laneOf(queue: QueueName): Lane {
    const known = this.#lanes.get(queue);
    if (known !== undefined) {
      return known;
    }
    const lane = new Lane(queue, this.#options.queueCapacity);
    lane.fair.reweigh(this.#shareOf);
    this.#lanes.set(queue, lane);
    return lane;
  }

  demand(): readonly DemandRow[] {
    return this.lanes.flatMap((lane) => lane.demand());
  }

  /** Records the end of an attempt and frees its unit. */
  attemptEnded(req: OpenRequest, end: AttemptEnd, now: Millis): void {
    const lane = this.laneOf(req.arrival.queue);
    if (end.result.type === 'answered') {
      lane.meter.served(now - req.startedAt);
    }
    this.executors.ended(end.upstream, end.result.type, blameless(req, end, lane, now), now);
    if (end.load !== undefined) {
      this.executors.report(end.upstream, end.load, now);
    }
    req.upstream = undefined;
    lane.ended(req.team, now);
    this.limiter.release(req.team);
    for (const each of this.#lanes.values()) {
      each.fair.unpark(req.team);
    }
  }

  /** Starts what may start. Queues take turns in going first. */
  pump(now: Millis): void {
    const lanes = this.lanes;
    this.#firstLane = (this.#firstLane + 1) % Math.max(1, lanes.length);
    const inTurn = [...lanes.slice(this.#firstLane), ...lanes.slice(0, this.#firstLane)];
    for (const lane of inTurn) {
      if (lane.waiting > 0) {
        this.#pumpLane(lane, now);
      }
    }
  }

  /**
   * Computes the local weights of one queue whose turn it is. All queues at once would hold up
   * requests for several milliseconds with 300 teams in 5 queues at 8 entries.
   */
  reweigh(now: Millis): void {
    const due = this.lanes.find((lane) => now - lane.reweighedAt >= REWEIGH_MS);
    if (due !== undefined) {
      this.#reweighLane(due, now);
    }
  }

  /** Whether the team may start more: within the grant, and within a limit lowered since. */
  mayRun(team: TeamName, now: Millis): boolean {
    if (team === OPEN_TEAM) {
      return true;
    }
    const belowLimit = this.limiter.running(team) < this.#options.admission.limitOf(team);
    return belowLimit && this.limiter.free(team, now);
  }

  /** Executors that the configuration names for the queue. */
  executorsOf(lane: Lane): readonly Executor[] {
    return this.executors.ofPool(this.#poolOf(lane));
  }

  readonly #shareOf = (team: TeamName): number =>
    this.#options.admission.cfg.spec('team', team)?.share ?? 1;

  #poolOf(lane: Lane): string {
    return this.#options.admission.cfg.spec('queue', lane.queue)?.pool ?? '';
  }

  #reweighLane(lane: Lane, now: Millis): void {
    const slots = this.executors.slots(this.#poolOf(lane));
    const input = { queue: lane.queue, own: lane.demand(), shareOf: this.#shareOf, slots };
    const allotment = this.shares.allot(input, now);
    lane.fair.reweigh(allotment.weightOf);
    lane.slots = allotment.slots;
    lane.reweighedAt = now;
  }

  #unparkAll(): void {
    for (const lane of this.#lanes.values()) {
      lane.fair.unparkAll();
    }
  }

  #pumpLane(lane: Lane, now: Millis): void {
    if (this.#options.admission.cfg.spec('queue', lane.queue) === undefined) {
      this.#refuseAll(lane, now);
      return;
    }
    while (this.#pumpRetry(lane, now)) {
      // Each round starts or refuses one request.
    }
    while (lane.fair.waiting > 0) {
      const executor = this.#choose(lane, now);
      const req = executor && lane.fair.take((team) => this.mayRun(team, now));
      if (executor === undefined || req === undefined) {
        return;
      }
      if (lane.waiting > 0 && lane.startsTooLate(req, now)) {
        const drained = lane.timeToDrain(1);
        this.#options.sink.refuse(req, appError('deadline-unreachable', 'others wait', drained));
      } else {
        this.#start(lane, req, executor, now);
      }
    }
  }

  /** Refuses the work of a queue that was deleted; `recheck` gives the reason. */
  #refuseAll(lane: Lane, now: Millis): void {
    for (const req of lane.takeAll()) {
      const team = this.#options.admission.recheck(req.arrival, req.team, now);
      if (team.isErr()) {
        this.#options.sink.refuse(req, team.error);
      }
    }
  }

  /**
   * Takes one request between attempts; `false` if there is none or it can't start now. It goes to
   * the end then, so that the cost of an event stays bounded and the next one is looked at next.
   */
  #pumpRetry(lane: Lane, now: Millis): boolean {
    const req = lane.takeRetry();
    if (req === undefined) {
      return false;
    }
    if (!this.#canBeTried(lane, req)) {
      this.#options.sink.refuse(req, { kind: 'no-upstream' });
      return true;
    }
    const executor = this.#choose(lane, now, req);
    if (executor === undefined || !this.mayRun(req.team, now)) {
      lane.hold(req);
      return false;
    }
    this.#start(lane, req, executor, now);
    return true;
  }

  /**
   * Whether some executor may still take the request. Work that may have run needs one that has not
   * failed it. Executors that refused become eligible again when all others did as well.
   */
  #canBeTried(lane: Lane, req: OpenRequest): boolean {
    const usable = this.executorsOf(lane).filter((each) => each.inService);
    if (!usable.some((each) => req.mayTry(each.name))) {
      req.forgetRefusals();
    }
    return !req.mayHaveRun || usable.some((each) => !req.failedAt(each.name));
  }

  #choose(lane: Lane, now: Millis, req?: OpenRequest): Executor | undefined {
    const open = this.executorsOf(lane).filter(
      (each) => each.open(now) && hasSlot(lane, each) && (req?.mayTry(each.name) ?? true),
    );
    return this.#options.chooser.choose(open, this.#context(now));
  }

  #context(now: Millis): ChoiceContext {
    const rank = this.#members.indexOf(this.#options.self);
    return { now, entries: Math.max(1, this.#members.length), rank: Math.max(0, rank) };
  }

  #start(lane: Lane, req: OpenRequest, executor: Executor, now: Millis): void {
    const team = this.#options.admission.recheck(req.arrival, req.team, now);
    if (team.isErr()) {
      this.#options.sink.refuse(req, team.error);
      return;
    }
    req.attempts += 1;
    req.upstream = executor.name;
    req.startedAt = now;
    this.limiter.acquire(req.team);
    this.executors.started(executor.name);
    lane.started(req.team, now);
    this.#options.sink.send(req, executor.name);
  }
}

/** Whether the executor has a slot for this entry. An entry without any work always gets one. */
function hasSlot(lane: Lane, executor: Executor): boolean {
  const { slots, running } = lane;
  if (slots === undefined || running === 0) {
    return true;
  }
  return executor.outstanding < slotsWithin(slots, executor.slots, executor.phase);
}

/** Whether the end says nothing about the executor: the caller left or gave it too little time. */
function blameless(req: OpenRequest, end: AttemptEnd, lane: Lane, now: Millis): boolean {
  const tooShort = now - req.startedAt < BLAMED_TIMEOUT_RATIO * lane.meter.typicalMs;
  return req.cancelled || (end.result.type === 'timed-out' && tooShort);
}
