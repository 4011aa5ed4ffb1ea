import PQueue from 'p-queue';
import {
  MAX_START_WAIT_MS,
  OrderBacklog,
  attemptKey,
  type Clock,
  type ExecutorId,
  type JobEvent,
  type Millis,
  type PaceOrder,
  type StartOrder,
  type StartOutcome,
  type StopOrder,
  type WaitingStart,
} from '@turmerichoist/core';
import type { ActorContext, Recipient } from '@turmerichoist/runtime';
import type { CallLoss } from './call-loss.js';
import type { ExecutorClient, GuardedCall } from './ports.js';

/**
 * Orders to one executor on their way at once, more than its client has connections: while calls are
 * lost, some wait for a time-out, and the client replaces its connections. With 4, the jobs of a peak
 * in which one call in eighteen was lost took longer.
 */
export const MAX_ORDERS_IN_FLIGHT = 16;

/** What the orders to an executor mean for its polls. */
export interface OrderObserver {
  /** A start is about to be sent. Resolves when a lease has been asked for; undefined if one has. */
  beforeStart(): Promise<void> | undefined;
  /** A call has ended. `sentAt` is given if the time of its answer tells how long orders take. */
  onCallEnded(answered: boolean, sentAt?: Millis): void;
  /** A start has gone unanswered, as that of an executor that has restarted. */
  onStartUnanswered(): void;
  /** The runs have changed: the executor is to be polled at once. */
  requestPoll(): void;
}

export interface ExecutorOrdersOptions {
  readonly executor: ExecutorId;
  readonly client: ExecutorClient;
  readonly clock: Clock;
  /** Whether the owner holds its lease now; checked directly before each order is sent. */
  readonly mayAct: () => boolean;
  readonly loss: CallLoss;
  readonly owner: Recipient<JobEvent>;
  readonly observer: OrderObserver;
}

/**
 * Sends orders to one executor, a few at once. What waits is given up when its reason goes: a start
 * whose run is stopped meanwhile, or whose executor does not answer or has restarted.
 */
export class ExecutorOrders {
  readonly #options: ExecutorOrdersOptions;
  readonly #context: ActorContext;
  readonly #calls = new PQueue({ concurrency: MAX_ORDERS_IN_FLIGHT });
  readonly #backlog = new OrderBacklog();
  /** Runs whose start has left the backlog, is not answered yet and has not been withdrawn. */
  readonly #starting = new Set<string>();
  /** Starts that wait since before this monotonic time are given up. */
  #givenUpBefore: Millis = -Infinity;
  /** Monotonic time at which an order was answered last. */
  #answeredAt: Millis = -Infinity;

  constructor(options: ExecutorOrdersOptions, context: ActorContext) {
    this.#options = options;
    this.#context = context;
  }

  start(order: StartOrder): void {
    const { client, clock } = this.#options;
    const since = clock.now();
    if (this.#backlog.addStart({ order, since, process: client.process })) {
      this.#sendSoon();
    } else {
      this.#answerStart(order, 'not-sent');
    }
  }

  /** A start of the run that has not left is withdrawn; if it waited here, there is nothing to stop. */
  stop(order: StopOrder): void {
    if (this.#backlog.withdrawStart(order)) {
      this.#answerStart(order, 'withdrawn');
      return;
    }
    this.#starting.delete(attemptKey(order));
    if (this.#backlog.addStop(order)) {
      this.#sendSoon();
    }
  }

  pace(order: PaceOrder): void {
    if (this.#backlog.addPace(order)) {
      this.#sendSoon();
    }
  }

  /** Gives up the starts that wait, as the executor does not answer calls or has restarted. */
  giveUpStarts(): void {
    this.#givenUpBefore = this.#options.clock.now();
    this.#backlog.removeStarts().forEach(({ order }) => {
      this.#answerStart(order, 'withdrawn');
    });
  }

  #sendSoon(): void {
    void this.#calls.add(() => this.#sendNext());
  }

  async #sendNext(): Promise<void> {
    const next = this.#backlog.take();
    switch (next?.type) {
      case 'start':
        await this.#start(next.waiting);
        return;
      case 'stop':
        await this.#stop(next.order);
        return;
      case 'pace':
        await this.#pace(next.order);
        return;
      default:
      // Withdrawn, or replaced by a later one.
    }
  }

  async #start(waiting: WaitingStart): Promise<void> {
    const { client, clock, observer } = this.#options;
    const { order } = waiting;
    const key = attemptKey(order);
    this.#starting.add(key);
    const leased = observer.beforeStart();
    if (leased !== undefined) {
      await leased;
    }
    const sentAt = clock.now();
    const isWanted = (): boolean => this.#starting.has(key) && this.#isValid(waiting);
    const outcome = isWanted() ? await client.start(order, this.#call(isWanted)) : 'not-sent';
    const withdrawn = !this.#starting.delete(key) || waiting.since < this.#givenUpBefore;
    if (outcome !== 'not-sent') {
      observer.onCallEnded(outcome !== 'unknown', outcome === 'started' ? sentAt : undefined);
    }
    this.#answerStart(order, outcome === 'not-sent' && withdrawn ? 'withdrawn' : outcome);
    if (outcome === 'unknown') {
      observer.onStartUnanswered();
      if (this.#answeredAt < sentAt) {
        // Not a call is lost, but all are.
        this.giveUpStarts();
      }
    } else if (outcome !== 'not-sent') {
      this.#answeredAt = clock.now();
    }
    if (outcome === 'unknown' || client.process !== waiting.process) {
      observer.requestPoll();
    }
  }

  /** Whether what a start was decided on still holds. */
  #isValid({ since, process }: WaitingStart): boolean {
    const { client, clock } = this.#options;
    return (
      client.process === process &&
      since >= this.#givenUpBefore &&
      clock.now() - since <= MAX_START_WAIT_MS &&
      this.#mayAct()
    );
  }

  #mayAct(): boolean {
    return !this.#context.signal.aborted && this.#options.mayAct();
  }

  #call(isWanted: () => boolean): GuardedCall {
    const { signal } = this.#context;
    return { timeoutMs: this.#options.loss.answerTimeoutMs, isWanted, signal };
  }

  #answerStart({ task, attempt }: StopOrder, outcome: StartOutcome): void {
    const { executor, owner } = this.#options;
    if (outcome !== 'started') {
      this.#context.log.info('start not confirmed', { task, attempt, executor, outcome });
    }
    owner.post({ type: 'start-answer', task, attempt, executor, outcome });
  }

  async #stop(order: StopOrder): Promise<void> {
    const { executor, client, owner, observer } = this.#options;
    const { task, attempt } = order;
    const mayAct = (): boolean => this.#mayAct();
    const answered = mayAct() && (await client.stop(order, this.#call(mayAct)));
    owner.post({ type: 'stop-answer', task, attempt, executor, answered });
    if (answered) {
      observer.requestPoll();
    }
  }

  async #pace(order: PaceOrder): Promise<void> {
    const { executor, client } = this.#options;
    const mayAct = (): boolean => this.#mayAct();
    const answered = mayAct() && (await client.pace(order, this.#call(mayAct)));
    if (!answered) {
      const { task, attempt } = order;
      this.#context.log.info('pace not confirmed', { task, attempt, executor });
    }
  }
}
