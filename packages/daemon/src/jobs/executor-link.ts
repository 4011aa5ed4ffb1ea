import type { Clock, ExecutorInfo, JobEvent, Millis, TaskRef } from '@turmerichoist/core';
import { Actor, sleep, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import type { ExecutorCalls, HoldAnswer, StartOrder } from './ports.js';

/** Longest wait of one look for an end; the lease is extended with each look. */
const WAIT_MS: Millis = 1_000;
/** Longest time that an end may wait for its acknowledgement before the executor is asked again. */
const ACKNOWLEDGE_WAIT_MS: Millis = 60;
/** Pause between looks while ends can't be written. */
const UNWRITTEN_PAUSE_MS: Millis = 200;
const SILENT_PAUSE_MS: Millis = 200;
/** Longest time from the sending of a look to its answer or time-out, with a margin. */
const MAX_LOOK_MS: Millis = 2_500;
/** Executors' clocks may be this much slower than ours. */
const CLOCK_DRIFT = 1.02;
/** Covers the time that a look takes on its way. */
const LEASE_MARGIN_MS: Millis = 250;

export type LinkOrder =
  | { readonly type: 'start'; readonly order: StartOrder }
  | { readonly type: 'stop'; readonly task: TaskRef; readonly attempt: number }
  | {
      readonly type: 'pace';
      readonly task: TaskRef;
      readonly attempt: number;
      readonly percent: number;
    }
  /** Ends up to `through` are written. */
  | { readonly type: 'acknowledged'; readonly startedWallMs: Millis; readonly through: number }
  /** Look at the executor soon, without waiting for an end. */
  | { readonly type: 'look' };

export interface ExecutorLinkOptions {
  readonly info: ExecutorInfo;
  readonly calls: ExecutorCalls;
  readonly clock: Clock;
  /** Term of the lease that each look extends. */
  readonly leaseMs: Millis;
  /** Whether the owner may act at this moment; checked right before each act. */
  readonly mayAct: () => boolean;
  readonly owner: Recipient<JobEvent>;
}

/** Owns the connections to one executor: looks at it all the time and passes orders on. */
export class ExecutorLink extends Actor<LinkOrder> {
  readonly #options: ExecutorLinkOptions;
  #acknowledged = 0;
  #listedThrough = 0;
  #startedWallMs: Millis;
  #leaseEndsAt: Millis;
  #wake: (() => void) | undefined;

  constructor(options: ExecutorLinkOptions, context: ActorContext) {
    super('executor', context);
    this.#options = options;
    this.#startedWallMs = options.info.startedWallMs;
    this.#leaseEndsAt = options.clock.now();
  }

  start(): void {
    void this.#watch();
  }

  protected receive(message: LinkOrder): void {
    switch (message.type) {
      case 'start':
        void this.#start(message.order);
        return;
      case 'stop':
        void this.#stop(message.task, message.attempt);
        return;
      case 'pace':
        void this.#pace(message.task, message.attempt, message.percent);
        return;
      case 'acknowledged':
        if (message.startedWallMs === this.#startedWallMs) {
          this.#acknowledged = Math.max(this.#acknowledged, message.through);
          this.#wake?.();
        }
        return;
      case 'look':
        void this.#look(0);
    }
  }

  async #watch(): Promise<void> {
    // The first look learns the executor's clock and waits for nothing.
    let answered = await this.#look(0);
    while (!this.signal.aborted) {
      const settled = this.#acknowledged >= this.#listedThrough;
      const waitMs = answered && settled ? WAIT_MS : 0;
      answered = await this.#look(waitMs, answered);
      if (!answered) {
        await sleep(SILENT_PAUSE_MS, this.signal);
      } else if (this.#acknowledged < this.#listedThrough) {
        await this.#awaitAcknowledgement(settled ? ACKNOWLEDGE_WAIT_MS : UNWRITTEN_PAUSE_MS);
      }
    }
  }

  /** One look. A lease that may not have been extended is not extended further until an answer. */
  async #look(waitMs: Millis, extend = true): Promise<boolean> {
    const { calls, clock, info, leaseMs, mayAct, owner } = this.#options;
    const sentAt = clock.now();
    const extending = extend && mayAct();
    const acknowledged = this.#acknowledged;
    if (extending) {
      const endsAt = sentAt + leaseMs * CLOCK_DRIFT + LEASE_MARGIN_MS;
      const ending = this.#leaseEndsAt - sentAt < MAX_LOOK_MS;
      this.#leaseEndsAt = Math.max(this.#leaseEndsAt, endsAt);
      if (ending) {
        // The lease that the owner knows may end before this look is answered.
        owner.post({ type: 'lease', executor: info.id, leaseEndsAt: this.#leaseEndsAt });
      }
    }
    const answer = await calls.hold(
      { acknowledged, leaseMs: extending ? leaseMs : undefined, waitMs },
      this.signal,
    );
    if (answer.type === 'report') {
      this.#reported(answer, sentAt);
      return true;
    }
    if (answer.type === 'fenced') {
      this.log.warn('fenced by a later owner', { executor: info.id });
      owner.post({ type: 'fenced', executor: info.id });
      return false;
    }
    owner.post({ type: 'silent', executor: info.id, leaseEndsAt: this.#leaseEndsAt });
    return false;
  }

  #reported(answer: Extract<HoldAnswer, { type: 'report' }>, sentAt: Millis): void {
    const { info, owner } = this.#options;
    if (answer.startedWallMs !== this.#startedWallMs) {
      this.log.info('executor has a new life', { executor: info.id, born: answer.startedWallMs });
      this.#startedWallMs = answer.startedWallMs;
      this.#acknowledged = 0;
      this.#listedThrough = 0;
    }
    const last = answer.ended.at(-1)?.seq ?? 0;
    this.#listedThrough = Math.max(this.#listedThrough, last);
    owner.post({
      type: 'report',
      leaseEndsAt: this.#leaseEndsAt,
      report: {
        executor: info.id,
        startedWallMs: answer.startedWallMs,
        sentAt,
        running: answer.running,
        ended: answer.ended,
      },
    });
  }

  async #awaitAcknowledgement(ms: Millis): Promise<void> {
    const woken = new AbortController();
    this.#wake = () => {
      if (this.#acknowledged >= this.#listedThrough) {
        woken.abort();
      }
    };
    await sleep(ms, AbortSignal.any([this.signal, woken.signal]));
    this.#wake = undefined;
  }

  async #start(order: StartOrder): Promise<void> {
    const { calls, info, mayAct, owner } = this.#options;
    const outcome = mayAct() ? await calls.start(order, this.signal) : 'not-sent';
    const { task, attempt } = order;
    if (outcome !== 'started') {
      this.log.info('start not confirmed', { task, attempt, executor: info.id, outcome });
    }
    owner.post({ type: 'start-answer', task, attempt, executor: info.id, outcome });
    if (outcome === 'unknown') {
      await this.#look(0);
    }
  }

  async #stop(task: TaskRef, attempt: number): Promise<void> {
    const { calls, info, owner } = this.#options;
    const answered = await calls.stop(task, attempt, this.signal);
    owner.post({ type: 'stop-answer', task, attempt, executor: info.id, answered });
    if (answered) {
      await this.#look(0);
    }
  }

  async #pace(task: TaskRef, attempt: number, percent: number): Promise<void> {
    const answered = await this.#options.calls.pace(task, attempt, percent, this.signal);
    if (!answered) {
      this.log.info('pace not confirmed', { task, attempt, executor: this.#options.info.id });
    }
  }
}
