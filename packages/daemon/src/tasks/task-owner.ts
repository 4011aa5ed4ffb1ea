import {
  appError,
  Err,
  Configuration,
  fail,
  NO_RESOURCES,
  Ok,
  TaskDecider,
  type AppError,
  type Clock,
  type Millis,
  type PoolName,
  type RequestId,
  type Resources,
  type Result,
  type TaskAnswer,
  type TaskDecision,
  type TaskEvent,
  type TeamName,
} from '@turmerichoist/core';
import type { Condition, TableStore } from '@turmerichoist/coordination';
import { Actor, every, type ActorContext } from '@turmerichoist/runtime';
import type { TaskCommand, TaskOwnerMessage } from './messages.js';
import { AllowanceManager, type TeamUsage } from './allowance-manager.js';
import { TaskLog } from './task-log.js';
import { REPORT_PERIOD_MS, WorkerLinks } from './worker-links.js';

const TICK_MS: Millis = 50;

/** Period at which the pool's parts of the teams' limits are adjusted. */
const ALLOWANCE_PERIOD_MS: Millis = 500;

/** Delay before a failed read of the task log is retried. */
const READ_RETRY_DELAY_MS: Millis = 500;

export interface TaskOwnerOptions {
  readonly pool: PoolName;
  readonly clock: Clock;
  readonly store: TableStore;
  readonly newId: () => string;
  /** Epoch under which the pool is owned. */
  readonly epoch: number;
  /** Condition on the owner's row. Every write is fenced by it. */
  readonly owner: Condition;
}

type AppendDecision = Extract<TaskDecision, { type: 'append' }>;
type Reply = (answer: Result<unknown, AppError>) => void;

/** Owns the tasks of one pool for one epoch: the task log, the links to workers and the decider. */
export class TaskOwner extends Actor<TaskOwnerMessage> {
  readonly #options: TaskOwnerOptions;
  readonly #decider: TaskDecider;
  readonly #taskLog: TaskLog;
  readonly #workers: WorkerLinks;
  readonly #allowances: AllowanceManager;
  #cfg = Configuration.empty;
  #adjusting = false;
  readonly #pendingReplies = new Map<RequestId, Reply>();
  #lastRequest = 0;

  constructor(context: ActorContext, options: TaskOwnerOptions) {
    super(`tasks/${options.pool}`, context);
    this.#options = options;
    this.#decider = new TaskDecider(options.pool);
    this.#taskLog = new TaskLog(options.store, options.pool);
    this.#allowances = new AllowanceManager(options);
    this.#workers = new WorkerLinks(options.clock, this, this.signal);
    this.signal.addEventListener(
      'abort',
      () => {
        this.#failPendingReplies();
      },
      { once: true },
    );
  }

  /** Reads the task log and starts the timers. */
  start(): void {
    void this.#loadLog();
    every(TICK_MS, this.signal, () => this.post({ type: 'tick' }));
    every(ALLOWANCE_PERIOD_MS, this.signal, () => this.post({ type: 'adjust-allowances' }));
    every(REPORT_PERIOD_MS, this.signal, () => this.post({ type: 'poll-workers' }));
  }

  /** Executes a command. Errors: `not-owner`, `outcome-unknown`, and those of the decider. */
  command(command: TaskCommand): Promise<Result<unknown, AppError>> {
    return new Promise((resolve) => {
      const accepted = this.post({ type: 'command', command, reply: resolve });
      if (!accepted) {
        resolve(fail('not-owner', this.#options.pool));
      }
    });
  }

  /** Resources that are charged against each team's allowance in this pool. */
  charges(): ReadonlyMap<TeamName, Resources> {
    return this.#decider.charges();
  }

  protected receive(message: TaskOwnerMessage): void {
    switch (message.type) {
      case 'command':
        this.#handleCommand(message.command, message.reply);
        return;
      case 'poll-workers':
        this.#workers.poll();
        return;
      case 'adjust-allowances':
        void this.#adjustAllowances();
        return;
      case 'lower-allowances':
        this.#decide({ type: 'allowances', teams: message.teams });
        message.reply(this.#decider.charges());
        return;
      case 'config-changed':
        this.#cfg = message.cfg;
        this.#workers.setWorkers(workersOf(message.cfg, this.#options.pool));
        break;
      default:
        break;
    }
    this.#decide(message);
  }

  #decide(event: TaskEvent): void {
    for (const decision of this.#decider.handle(event, this.#options.clock.now())) {
      this.#execute(decision);
    }
  }

  async #adjustAllowances(): Promise<void> {
    if (this.#adjusting) {
      return;
    }
    this.#adjusting = true;
    const lowerAllowances = (teams: ReadonlyMap<TeamName, Resources>) =>
      new Promise<ReadonlyMap<TeamName, Resources>>((resolve) => {
        if (!this.post({ type: 'lower-allowances', teams, reply: resolve })) {
          resolve(this.#decider.charges());
        }
      });
    const teams = await this.#allowances.adjust(
      this.#cfg,
      this.#teamUsage(),
      lowerAllowances,
      this.signal,
    );
    this.#adjusting = false;
    this.post({ type: 'allowances', teams });
  }

  /** Usage of the teams that have leases or waiting tasks in this pool. */
  #teamUsage(): ReadonlyMap<TeamName, TeamUsage> {
    const charges = this.#decider.charges();
    const now = this.#options.clock.now();
    const rows = this.#cfg.list('team').map(({ name }) => {
      const waiting = this.#decider.explainTeam(name, now)?.waiting;
      const waits = Object.values(waiting ?? {}).some((count) => count > 0);
      return [name, { charged: charges.get(name) ?? NO_RESOURCES, waits }] as const;
    });
    return new Map(rows.filter(([team, { waits }]) => waits || charges.has(team)));
  }

  #handleCommand(command: TaskCommand, reply: Reply): void {
    if (command.type === 'show') {
      reply(this.#show(command));
      return;
    }
    this.#lastRequest += 1;
    const request = String(this.#lastRequest);
    this.#pendingReplies.set(request, reply);
    if (command.type === 'submit') {
      this.post({ type: 'submitted', request, task: command.task });
    } else {
      this.post({ type: 'cancelled', request, team: command.team, ids: command.ids });
    }
  }

  #show({ id, team }: Extract<TaskCommand, { type: 'show' }>): Result<unknown, AppError> {
    const view = this.#decider.explainTask(id, this.#options.clock.now());
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
        this.#sendReply(decision.request, decision.answer);
        break;
      case 'wait':
        this.log.debug('task waits', { task: decision.id, reason: decision.reason });
        break;
    }
  }

  #sendReply(request: RequestId, answer: TaskAnswer): void {
    const reply = this.#pendingReplies.get(request);
    this.#pendingReplies.delete(request);
    reply?.(answer.type === 'refused' ? Err(answer.err) : Ok(answer));
  }

  async #append({ epoch, batch, events, dropBefore }: AppendDecision): Promise<void> {
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

  async #loadLog(): Promise<void> {
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
        void this.#loadLog();
      }
    }, READ_RETRY_DELAY_MS);
  }

  #failPendingReplies(): void {
    const err = appError('outcome-unknown', 'the owner of the pool changed');
    for (const reply of this.#pendingReplies.values()) {
      reply(Err(err));
    }
    this.#pendingReplies.clear();
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
