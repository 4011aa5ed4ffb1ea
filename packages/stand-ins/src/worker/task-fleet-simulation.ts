import {
  TaskDecider,
  type Configuration,
  type InstanceName,
  type Millis,
  type PoolName,
  type Resources,
  type TaskAnswer,
  type TaskDecision,
  type TaskEvent,
  type TaskId,
  type TaskLogEvent,
  type TaskSpec,
  type TeamName,
} from '@turmerichoist/core';
import { WorkerModel } from './worker-model.js';

/** Simulated latency of an append to the task log. */
const DEFAULT_APPEND_MS = 20;
const DEFAULT_REPORT_MS = 250;
const DEFAULT_STEP_MS = 50;

export interface TaskFleetSimulationOptions {
  readonly pool: PoolName;
  readonly cfg: Configuration;
  readonly allowances: ReadonlyMap<TeamName, Resources>;
  readonly appendMs?: Millis;
  /** Interval between two reports of a worker. */
  readonly reportMs?: Millis;
  /** Interval between two ticks. */
  readonly stepMs?: Millis;
  /** Age of the usage figures in reports. */
  readonly lagMs?: Millis;
  /** Wraps every call of the decider, for example to measure its duration. */
  readonly interceptDecision?: DecisionInterceptor;
}

type Decide = () => readonly TaskDecision[];
type DecisionInterceptor = (event: TaskEvent, decide: Decide) => readonly TaskDecision[];

interface ScheduledEvent {
  readonly at: Millis;
  readonly event: TaskEvent;
}

/** Runs a `TaskDecider` against worker models on a virtual clock and without a network. */
export class TaskFleetSimulation {
  readonly decider: TaskDecider;
  readonly models: ReadonlyMap<InstanceName, WorkerModel>;
  readonly decisions: { readonly at: Millis; readonly decision: TaskDecision }[] = [];
  readonly answers: TaskAnswer[] = [];
  readonly log: TaskLogEvent[] = [];
  /** Workers that receive no orders and send no reports. */
  readonly unreachableWorkers = new Set<InstanceName>();
  /** While true, appends to the log are not confirmed. */
  stallsAppends = false;
  /** While true, the configuration and the ownership are confirmed at every tick. */
  confirmsFreshness = true;
  now: Millis = 0;
  readonly #options: Required<Omit<TaskFleetSimulationOptions, 'cfg' | 'allowances'>>;
  readonly #cursors = new Map<InstanceName, number>();
  readonly #nextReportAt = new Map<InstanceName, Millis>();
  #scheduledEvents: ScheduledEvent[] = [];
  #requestCount = 0;

  constructor(options: TaskFleetSimulationOptions) {
    this.#options = {
      appendMs: DEFAULT_APPEND_MS,
      reportMs: DEFAULT_REPORT_MS,
      stepMs: DEFAULT_STEP_MS,
      lagMs: 0,
      interceptDecision: (_, decide) => decide(),
      ...options,
    };
    this.decider = new TaskDecider(options.pool);
    this.models = new Map(
      options.cfg.list('instance').map(({ name, spec }) => {
        const { processors, memoryMb, accelerators } = spec;
        const capacity = { processors, memoryMb, accelerators };
        return [name, new WorkerModel({ capacity, lagMs: this.#options.lagMs }, 0)];
      }),
    );
    this.#staggerReports();
    this.dispatch({ type: 'config-changed', cfg: options.cfg });
    this.dispatch({ type: 'allowances', teams: options.allowances });
    this.#confirmFreshness();
    this.dispatch({ type: 'ownership-gained', epoch: 1, log: [], nextBatch: 0 });
    this.#reportAll();
  }

  submit(task: TaskSpec): void {
    this.dispatch({ type: 'submitted', request: this.#nextRequestId(), task });
  }

  cancel(team: TeamName, ids: readonly TaskId[]): void {
    this.dispatch({ type: 'cancelled', request: this.#nextRequestId(), team, ids });
  }

  /** Advances the virtual clock by `ms` in steps of `stepMs`. */
  step(ms: Millis): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now = Math.min(end, this.now + this.#options.stepMs);
      this.#confirmFreshness();
      this.#dispatchDueEvents();
      for (const [name, at] of this.#nextReportAt) {
        if (at <= this.now) {
          this.#nextReportAt.set(name, at + this.#options.reportMs);
          this.report(name);
        }
      }
      this.dispatch({ type: 'tick' });
    }
  }

  /** Passes a report of the worker to the decider. */
  report(name: InstanceName): void {
    const model = this.models.get(name);
    if (model === undefined || this.unreachableWorkers.has(name)) {
      return;
    }
    const report = model.report(this.#cursors.get(name) ?? 0, this.now);
    this.#cursors.set(name, report.cursor);
    const requestedAt = this.now;
    this.dispatch({ type: 'worker-report', report: { ...report, worker: name, requestedAt } });
  }

  /** Passes one event to the decider and executes its decisions. */
  dispatch(event: TaskEvent): void {
    const decide = (): readonly TaskDecision[] => this.decider.handle(event, this.now);
    for (const decision of this.#options.interceptDecision(event, decide)) {
      this.decisions.push({ at: this.now, decision });
      this.#execute(decision);
    }
  }

  #execute(decision: TaskDecision): void {
    switch (decision.type) {
      case 'append':
        this.#append(decision);
        return;
      case 'lease':
        this.#lease(decision);
        return;
      case 'renew':
        for (const order of decision.renewals) {
          this.#reachableModel(decision.worker)?.renew(decision.epoch, order, this.now);
        }
        return;
      case 'stop': {
        const { worker, epoch, mode } = decision;
        this.#reachableModel(worker)?.stop(epoch, decision, mode, this.now);
        return;
      }
      case 'answer':
        this.answers.push(decision.answer);
        return;
      case 'wait':
        return;
    }
  }

  #append({ epoch, batch, events }: Extract<TaskDecision, { type: 'append' }>): void {
    this.log.push(...events);
    const event = { type: 'append-confirmed', epoch, batch } as const;
    this.#scheduledEvents.push({ at: this.now + this.#options.appendMs, event });
  }

  #lease({ worker, leases }: Extract<TaskDecision, { type: 'lease' }>): void {
    const model = this.#reachableModel(worker);
    const results = leases.map((order) => ({
      id: order.id,
      fence: order.fence,
      reply: model?.lease(order, this.now) ?? ('unknown' as const),
    }));
    this.#scheduledEvents.push({ at: this.now, event: { type: 'lease-result', worker, results } });
  }

  #dispatchDueEvents(): void {
    const isDue = ({ at, event }: ScheduledEvent): boolean =>
      at <= this.now && !(this.stallsAppends && event.type === 'append-confirmed');
    const due = this.#scheduledEvents.filter((pending) => isDue(pending));
    this.#scheduledEvents = this.#scheduledEvents.filter((pending) => !isDue(pending));
    for (const { event } of due) {
      this.dispatch(event);
    }
  }

  #reachableModel(name: InstanceName): WorkerModel | undefined {
    return this.unreachableWorkers.has(name) ? undefined : this.models.get(name);
  }

  #confirmFreshness(): void {
    if (this.confirmsFreshness) {
      const until = this.now + 8_000;
      this.dispatch({ type: 'freshness', configUntil: until, ownerUntil: until });
    }
  }

  #staggerReports(): void {
    const { reportMs } = this.#options;
    [...this.models.keys()].forEach((name, i) => {
      this.#nextReportAt.set(name, (i / this.models.size) * reportMs);
    });
  }

  #reportAll(): void {
    for (const name of this.models.keys()) {
      this.report(name);
    }
  }

  #nextRequestId(): string {
    this.#requestCount += 1;
    return `r${this.#requestCount}`;
  }
}
