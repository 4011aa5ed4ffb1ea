import {
  appError,
  Err,
  fail,
  Ok,
  TaskDecider,
  type AppError,
  type Clock,
  type Configuration,
  type Millis,
  type PoolName,
  type RequestId,
  type Resources,
  type Result,
  type TaskAnswer,
  type TaskDecision,
  type TeamName,
} from '@turmerichoist/core';
import type { Condition, TableStore } from '@turmerichoist/coordination';
import { Actor, every, type ActorContext } from '@turmerichoist/runtime';
import type { TaskCommand, TaskOwnerMessage } from './messages.js';
import { TaskLog } from './task-log.js';
import { REPORT_PERIOD_MS, WorkerLinks } from './worker-links.js';

const TICK_MS: Millis = 50;

/** Pause before a log that could not be read is tried again. */
const READ_RETRY_MS: Millis = 500;

export interface TaskOwnerOptions {
  readonly pool: PoolName;
  readonly clock: Clock;
  readonly store: TableStore;
  /** Epoch under which the pool is owned. */
  readonly epoch: number;
  /** The owner's row, which every write has as a condition. */
  readonly owner: Condition;
}

type Append = Extract<TaskDecision, { type: 'append' }>;
type Reply = (answer: Result<unknown, AppError>) => void;

/** Owns the tasks of one pool for one epoch: their log, the workers and the decisions. */
export class TaskOwner extends Actor<TaskOwnerMessage> {
  readonly #options: TaskOwnerOptions;
  readonly #decider: TaskDecider;
  readonly #taskLog: TaskLog;
  readonly #workers: WorkerLinks;
  readonly #replies = new Map<RequestId, Reply>();
  #lastRequest = 0;

  constructor(context: ActorContext, options: TaskOwnerOptions) {
    super(`tasks/${options.pool}`, context);
    this.#options = options;
    this.#decider = new TaskDecider(options.pool);
    this.#taskLog = new TaskLog(options.store, options.pool);
    this.#workers = new WorkerLinks(options.clock, this, this.signal);
    this.signal.addEventListener('abort', () => this.#failReplies(), { once: true });
  }

  /** Reads the log and begins to decide. */
  start(): void {
    void this.#gain();
    every(TICK_MS, this.signal, () => this.post({ type: 'tick' }));
    every(REPORT_PERIOD_MS, this.signal, () => this.post({ type: 'poll-workers' }));
  }

  /** Carries out a command of a caller. */
  command(command: TaskCommand): Promise<Result<unknown, AppError>> {
    return new Promise((resolve) => {
      const accepted = this.post({ type: 'command', command, reply: resolve });
      if (!accepted) {
        resolve(fail('not-owner', this.#options.pool));
      }
    });
  }

  /** What each team counts against its allowance in this pool. */
  charges(): ReadonlyMap<TeamName, Resources> {
    return this.#decider.charges();
  }

  protected receive(message: TaskOwnerMessage): void {
    switch (message.type) {
      case 'command':
        this.#command(message.command, message.reply);
        return;
      case 'poll-workers':
        this.#workers.poll();
        return;
      case 'config-changed':
        this.#workers.setWorkers(workersOf(message.cfg, this.#options.pool));
        break;
      default:
        break;
    }
    for (const decision of this.#decider.handle(message, this.#options.clock.now())) {
      this.#execute(decision);
    }
  }

  #command(command: TaskCommand, reply: Reply): void {
    if (command.type === 'show') {
      reply(this.#show(command));
      return;
    }
    this.#lastRequest += 1;
    const request = String(this.#lastRequest);
    this.#replies.set(request, reply);
    if (command.type === 'submit') {
      this.post({ type: 'submitted', request, task: command.task });
    } else {
      this.post({ type: 'cancelled', request, team: command.team, ids: command.ids });
    }
  }

  #show({ id, team }: Extract<TaskCommand, { type: 'show' }>): Result<unknown, AppError> {
    const view = this.#decider.whyTask(id, this.#options.clock.now());
    return view === undefined || (team !== undefined && view.team !== team)
      ? fail('not-found', `task ${id}`)
      : Ok(view);
  }

  #execute(decision: TaskDecision): void {
    switch (decision.type) {
      case 'append':
        void this.#append(decision);
        break;
      case 'lease':
      case 'renew':
      case 'stop':
        void this.#workers.send(decision);
        break;
      case 'answer':
        this.#answer(decision.request, decision.answer);
        break;
      case 'wait':
        this.log.debug('task waits', { task: decision.id, reason: decision.reason });
        break;
    }
  }

  #answer(request: RequestId, answer: TaskAnswer): void {
    const reply = this.#replies.get(request);
    this.#replies.delete(request);
    reply?.(answer.type === 'refused' ? Err(answer.err) : Ok(answer));
  }

  async #append({ epoch, batch, events, dropBefore }: Append): Promise<void> {
    const drop = dropBefore === undefined ? {} : { dropBefore };
    const { owner } = this.#options;
    const written = await this.#taskLog.append({ batch, events, ...drop }, owner, this.signal);
    if (written.isOk()) {
      this.post({ type: 'append-confirmed', epoch, batch });
    } else if (written.error.kind === 'outcome-unknown') {
      this.post({ type: 'append-unknown', epoch, batch });
    } else {
      const cause = written.error.kind === 'not-owner' ? 'not-owner' : 'unavailable';
      this.post({ type: 'append-rejected', epoch, batch, cause });
    }
  }

  async #gain(): Promise<void> {
    const stored = await this.#taskLog.read(this.signal);
    if (stored.isOk()) {
      const { epoch } = this.#options;
      this.post({
        type: 'ownership-gained',
        epoch,
        log: stored.value.events,
        nextBatch: stored.value.nextBatch,
      });
      return;
    }
    this.log.warn('cannot read the task log', { error: stored.error.kind });
    setTimeout(() => {
      if (!this.signal.aborted) {
        void this.#gain();
      }
    }, READ_RETRY_MS);
  }

  #failReplies(): void {
    const err = appError('outcome-unknown', 'the owner of the pool changed');
    for (const reply of this.#replies.values()) {
      reply(Err(err));
    }
    this.#replies.clear();
  }
}

function workersOf(
  cfg: Configuration,
  pool: PoolName,
): readonly { readonly worker: string; readonly address: string }[] {
  return cfg
    .list('instance')
    .filter(({ spec }) => spec.pool === pool)
    .map(({ name, spec }) => ({ worker: name, address: spec.address }));
}
