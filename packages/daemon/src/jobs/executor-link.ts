import type {
  Clock,
  ExecutorInfo,
  JobEvent,
  Millis,
  PaceOrder,
  StartOrder,
  StopOrder,
} from '@turmerichoist/core';
import { Actor, sleep, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import type { CallLoss } from './call-loss.js';
import { ExecutorOrders } from './executor-orders.js';
import type { ExecutorClient, PollResponse } from './ports.js';
import { WakeablePause } from './wakeable-pause.js';

/** Long-poll time of one poll, which returns early when a run ends. Each poll extends the lease. */
const POLL_WAIT_MS: Millis = 1_000;
/**
 * Long-poll time while calls are being lost and tasks start or end on the executor. The ends that a
 * lost poll would have told are known soon after it, instead of after a time-out of over 1.7 s.
 */
const SHORT_POLL_WAIT_MS: Millis = 150;
/** An executor counts as active for this long after a start or an end. */
const ACTIVE_MS: Millis = 3_000;
/** Polls in a row without an answer after which each is waited for: not a call is lost, but all are. */
const MAX_SILENT_POLLS = 2;
/**
 * Shortest and longest pause before an executor is polled again whose ended runs are not acknowledged.
 * Behind a slow store, a fixed pause made thousands of polls a second that listed the same runs.
 */
const MIN_UNACKNOWLEDGED_PAUSE_MS: Millis = 120;
const MAX_UNACKNOWLEDGED_PAUSE_MS: Millis = 1_000;
/** Pause after a poll without an answer. */
const UNANSWERED_PAUSE_MS: Millis = 200;
/**
 * Interval of checks whether the owner holds its leader lease again. Until then the executor is not
 * polled: the lease of its runs may not be extended, nor may anything be decided from its reports.
 */
const NOT_LEADING_PAUSE_MS: Millis = 1_000;
/**
 * Age at which a poll is given up that has not left. What it says of leases and acknowledgements is as
 * of when it was made, and `LeaseExpiry` counts on its being carried out within 700 ms.
 */
const MAX_POLL_WAIT_MS: Millis = 650;
/** Longest time from the sending of a poll to its answer or time-out, with a margin. */
const MAX_POLL_MS: Millis = 2_500;
/** The clock of an executor may run slower than the local clock by this factor. */
const MAX_CLOCK_DRIFT_FACTOR = 1.02;
/** Covers the network delay of a poll. */
const LEASE_MARGIN_MS: Millis = 250;

/** Longest time on this clock for which a lease of this term lasts. */
export function leaseBoundMs(termMs: Millis): Millis {
  return termMs * MAX_CLOCK_DRIFT_FACTOR + LEASE_MARGIN_MS;
}

export type ExecutorLinkMessage =
  | { readonly type: 'start'; readonly order: StartOrder }
  | ({ readonly type: 'stop' } & StopOrder)
  | ({ readonly type: 'pace' } & PaceOrder)
  /** The progress from ended runs up to `through` is stored. */
  | { readonly type: 'acknowledged'; readonly startedWallMs: Millis; readonly through: number }
  /** Polls the executor at once, without waiting for a run to end. */
  | { readonly type: 'poll' }
  /** The owner holds its leader lease again. */
  | { readonly type: 'resume' };

export interface ExecutorLinkOptions {
  readonly info: ExecutorInfo;
  readonly client: ExecutorClient;
  readonly clock: Clock;
  /** Term of the lease that each poll extends. */
  readonly leaseMs: Millis;
  /** Longest lease that executors grant. */
  readonly maxLeaseMs: Millis;
  /** Whether the owner holds its lease now; checked directly before each extension or order. */
  readonly mayAct: () => boolean;
  /** Of the calls over all links of the owner. */
  readonly loss: CallLoss;
  readonly owner: Recipient<JobEvent>;
}

/** How a poll ended, or that it is still under way although its answer is due. */
type PollResult = 'answered' | 'unanswered' | 'overdue';

/** Owns the connections to one executor: polls it continuously and forwards orders to it. */
export class ExecutorLink extends Actor<ExecutorLinkMessage> {
  readonly #options: ExecutorLinkOptions;
  readonly #orders: ExecutorOrders;
  #acknowledgedThrough = 0;
  /** Highest sequence number of the ended runs in the reports so far. */
  #reportedThrough = 0;
  #startedWallMs: Millis;
  /**
   * Whether a call went unanswered, or polls have paused, and no poll sent since was answered. A restarted executor
   * numbers its ends anew, so an acknowledgement meant for its former process would make it forget
   * ends not listed yet.
   */
  get #mayHaveRestarted(): boolean {
    return this.#suspectedAfter >= this.#lastAnsweredPoll;
  }

  /** Number of the poll that was sent last when the executor may have restarted. */
  #suspectedAfter = -1;
  /** Highest number of a poll that was answered. */
  #lastAnsweredPoll = 0;
  /** The process, by its number, that has sent the last report. */
  #reportedProcess = 0;
  #leaseEndsAt: Millis;
  readonly #pause: WakeablePause;
  #unacknowledgedPauseMs = MIN_UNACKNOWLEDGED_PAUSE_MS;
  /** Whether a poll has been answered, which tells the executor's clock. */
  #clockKnown = false;
  /** Whether a poll has requested a lease, which is a time on the executor's clock. */
  #leaseRequested = false;
  /** Whether a poll that was asked for by `#pollSoon` is under way. */
  #extraPolling = false;
  /** Whether another such poll was asked for after that one was sent. */
  #extraPollDue = false;
  #pollsSent = 0;
  /** Polls of the loop in a row that were overdue or unanswered, without an answer to any poll. */
  #silentPolls = 0;
  /** Whether a poll has been answered since the loop sent its last one. */
  #heard = false;
  /** Whether the last call that ended was answered. Only the first of several losses counts as one. */
  #lastCallAnswered = true;
  /** Ends the wait for an answer that is not overdue yet. */
  readonly #overdue: WakeablePause;
  /** Time of the latest start or listed end. */
  #activeAt: Millis = -Infinity;

  constructor(options: ExecutorLinkOptions, context: ActorContext) {
    super('executor', context);
    this.#options = options;
    this.#startedWallMs = options.info.startedWallMs;
    this.#leaseEndsAt = options.clock.now();
    this.#pause = new WakeablePause(this.signal);
    this.#overdue = new WakeablePause(this.signal);
    this.#orders = new ExecutorOrders(
      {
        ...options,
        executor: options.info.id,
        observer: {
          beforeStart: () => this.#beforeStart(),
          onCallEnded: (answered, sentAt) => {
            this.#recordCall(answered, sentAt);
          },
          onStartUnanswered: () => {
            this.#suspectRestart(this.#pollsSent);
          },
          requestPoll: () => void this.#pollSoon(),
        },
      },
      { log: this.log, signal: this.signal },
    );
  }

  start(): void {
    void this.#runPollLoop();
  }

  protected receive(message: ExecutorLinkMessage): void {
    switch (message.type) {
      case 'start':
        this.#orders.start(message.order);
        return;
      case 'stop':
        this.#orders.stop(message);
        return;
      case 'pace':
        this.#orders.pace(message);
        return;
      case 'acknowledged':
        this.#acknowledge(message.startedWallMs, message.through);
        return;
      case 'poll':
        void this.#pollSoon();
        return;
      case 'resume':
        this.#pause.wake();
    }
  }

  #acknowledge(startedWallMs: Millis, through: number): void {
    if (startedWallMs !== this.#startedWallMs) {
      return;
    }
    this.#acknowledgedThrough = Math.max(this.#acknowledgedThrough, through);
    if (this.#allAcknowledged) {
      this.#unacknowledgedPauseMs = MIN_UNACKNOWLEDGED_PAUSE_MS;
      this.#pause.wake();
    }
  }

  get #allAcknowledged(): boolean {
    return this.#acknowledgedThrough >= this.#reportedThrough;
  }

  async #runPollLoop(): Promise<void> {
    // The first poll returns at once: it reads the executor's clock, which a lease needs.
    await this.#poll(0);
    while (!this.signal.aborted) {
      // No other turn may come between the first report and the poll that extends the lease: starts
      // that the owner decides from the report can't be sent before.
      const resumed = !this.#options.mayAct() && (await this.#awaitLeadership());
      // The answer may have been to a poll that was overdue.
      const heard = this.#heard;
      const waitMs = heard && !resumed && this.#allAcknowledged ? this.#waitMs() : 0;
      this.#heard = false;
      const result = await this.#pollUntilOverdue(waitMs, heard);
      if (result === 'unanswered') {
        await sleep(UNANSWERED_PAUSE_MS, this.signal);
      } else if (result === 'answered' && !this.#allAcknowledged) {
        await this.#awaitAcknowledgement();
      }
    }
  }

  #waitMs(): Millis {
    const { clock, loss } = this.#options;
    const active = clock.now() - this.#activeAt < ACTIVE_MS;
    return active && loss.elevated ? SHORT_POLL_WAIT_MS : POLL_WAIT_MS;
  }

  /** Polls once, and stops waiting for the answer when it is overdue. It still counts if it comes. */
  async #pollUntilOverdue(waitMs: Millis, extend: boolean): Promise<PollResult> {
    const poll = this.#poll(waitMs, extend).then((answered): PollResult =>
      answered ? 'answered' : 'unanswered',
    );
    const number = this.#pollsSent;
    if (this.#silentPolls >= MAX_SILENT_POLLS) {
      return poll;
    }
    const limit = this.#overdue.pause(waitMs + this.#options.loss.answerTimeoutMs);
    const result = await Promise.race([poll, limit.then((): PollResult => 'overdue')]);
    this.#overdue.wake();
    if (result !== 'answered') {
      this.#silentPolls += 1;
    }
    if (result === 'overdue') {
      this.#suspectRestart(number);
    }
    return result;
  }

  /** Until a poll that is sent after the one with this number has been answered. */
  #suspectRestart(poll: number): void {
    this.#suspectedAfter = Math.max(this.#suspectedAfter, poll);
  }

  /** Pauses while the owner may not act. Returns whether it did. */
  async #awaitLeadership(): Promise<boolean> {
    let paused = false;
    while (!this.#options.mayAct() && !this.signal.aborted) {
      paused = true;
      await this.#pause.pause(NOT_LEADING_PAUSE_MS);
    }
    if (paused) {
      this.#suspectRestart(this.#pollsSent);
    }
    return paused;
  }

  /** Pauses until all reported ends are acknowledged, each time longer if they are not. */
  async #awaitAcknowledgement(): Promise<void> {
    const ms = this.#unacknowledgedPauseMs;
    this.#unacknowledgedPauseMs = Math.min(2 * ms, MAX_UNACKNOWLEDGED_PAUSE_MS);
    await this.#pause.pause(ms);
  }

  /**
   * Polls without delay beside the long poll. At most one such poll is under way, and requests that
   * arrive meanwhile share the next one: what they ask about may have changed after it was sent.
   */
  async #pollSoon(): Promise<void> {
    this.#extraPollDue = true;
    if (this.#extraPolling) {
      return;
    }
    this.#extraPolling = true;
    while (this.#extraPollDue && !this.signal.aborted) {
      this.#extraPollDue = false;
      await this.#poll(0);
    }
    this.#extraPolling = false;
  }

  /** Polls once. After an unanswered poll the lease is not extended until another is answered. */
  async #poll(waitMs: Millis, extend = true): Promise<boolean> {
    const { client, clock, info, leaseMs, mayAct, owner } = this.#options;
    const sentAt = clock.now();
    const extending = extend && mayAct();
    const restarted = this.#mayHaveRestarted || client.process !== this.#reportedProcess;
    const acknowledgedThrough = restarted ? 0 : this.#acknowledgedThrough;
    this.#pollsSent += 1;
    const number = this.#pollsSent;
    if (extending) {
      this.#leaseRequested ||= this.#clockKnown;
      const endsAt = sentAt + leaseBoundMs(leaseMs);
      const expiresDuringPoll = this.#leaseEndsAt - sentAt < MAX_POLL_MS;
      this.#leaseEndsAt = Math.max(this.#leaseEndsAt, endsAt);
      if (expiresDuringPoll) {
        // The lease end that the owner knows of may pass before this poll is answered.
        owner.post({ type: 'lease', executor: info.id, leaseEndsAt: this.#leaseEndsAt });
      }
    }
    const { process } = client;
    const isWanted = (): boolean =>
      clock.now() - sentAt <= MAX_POLL_WAIT_MS &&
      client.process === process &&
      (!extending || mayAct()) &&
      (acknowledgedThrough === 0 || !this.#mayHaveRestarted);
    const answer = await client.poll(
      { acknowledgedThrough, leaseMs: extending ? leaseMs : undefined, waitMs },
      { isWanted, signal: this.signal },
    );
    this.#recordCall(answer.type !== 'unanswered', waitMs === 0 ? sentAt : undefined);
    if (answer.type === 'report') {
      this.#lastAnsweredPoll = Math.max(this.#lastAnsweredPoll, number);
      this.#silentPolls = 0;
      this.#heard = true;
      this.#onReport(answer, sentAt);
      return true;
    }
    this.#suspectRestart(number);
    if (answer.type === 'fenced') {
      this.log.warn('executor is fenced by a later owner', { executor: info.id });
      owner.post({ type: 'fenced', executor: info.id });
      return false;
    }
    owner.post({ type: 'silent', executor: info.id, leaseEndsAt: this.#leaseEndsAt, sentAt });
    return false;
  }

  #onReport(answer: Extract<PollResponse, { type: 'report' }>, sentAt: Millis): void {
    const { info, client, clock, maxLeaseMs, owner } = this.#options;
    this.#clockKnown = true;
    this.#reportedProcess = client.process;
    if (answer.startedWallMs !== this.#startedWallMs) {
      this.log.info('executor has restarted', { executor: info.id, born: answer.startedWallMs });
      // Calls that it has answered until now had lease ends on the clock of its former process.
      this.#leaseEndsAt = Math.max(this.#leaseEndsAt, clock.now() + leaseBoundMs(maxLeaseMs));
      this.#startedWallMs = answer.startedWallMs;
      this.#acknowledgedThrough = 0;
      this.#reportedThrough = 0;
      this.#orders.giveUpStarts();
    }
    const last = answer.ended.at(-1)?.seq ?? 0;
    if (last > this.#reportedThrough) {
      this.#reportedThrough = last;
      this.#activeAt = clock.now();
    }
    owner.post({
      type: 'report',
      leaseEndsAt: this.#leaseEndsAt,
      receivedAt: clock.now(),
      report: {
        executor: info.id,
        startedWallMs: answer.startedWallMs,
        sentAt,
        running: answer.running,
        ended: answer.ended,
        moreEnded: answer.moreEnded === true,
      },
    });
  }

  /** A start may follow the first report before the next poll, which requests a lease, is sent. */
  #beforeStart(): Promise<void> | undefined {
    this.#activeAt = this.#options.clock.now();
    return this.#leaseRequested ? undefined : sleep(0, this.signal);
  }

  /**
   * Counts a call that has ended, and the time of its answer if `sentAt` is given. Calls that follow
   * an unanswered one say of the executor that it has ended, not that calls are lost.
   */
  #recordCall(answered: boolean, sentAt?: Millis): void {
    const { clock, loss } = this.#options;
    if (this.signal.aborted) {
      return;
    }
    if (answered || this.#lastCallAnswered) {
      loss.record(answered);
    }
    if (answered && sentAt !== undefined) {
      loss.recordTime(clock.now() - sentAt);
    }
    this.#lastCallAnswered = answered;
  }
}
