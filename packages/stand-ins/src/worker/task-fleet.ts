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

/** Time that a write to the log takes. */
const DEFAULT_APPEND_MS = 20;
const DEFAULT_REPORT_MS = 250;
const DEFAULT_STEP_MS = 50;

export interface TaskFleetOptions {
  readonly pool: PoolName;
  readonly cfg: Configuration;
  readonly allowances: ReadonlyMap<TeamName, Resources>;
  readonly appendMs?: Millis;
  /** Period of the reports of each worker. */
  readonly reportMs?: Millis;
  /** Period of the ticks. */
  readonly stepMs?: Millis;
  /** Age of the usage figures in reports. */
  readonly lagMs?: Millis;
  /** Called round every call of the decider, for example to measure it. */
  readonly observe?: Observe;
}

type Decide = () => readonly TaskDecision[];
type Observe = (event: TaskEvent, decide: Decide) => readonly TaskDecision[];

interface Pending {
  readonly at: Millis;
  readonly event: TaskEvent;
}

/** Runs a `TaskDecider` against worker models on a virtual clock, without a network between them. */
export class TaskFleet {
  readonly decider: TaskDecider;
  readonly models: ReadonlyMap<InstanceName, WorkerModel>;
  readonly decisions: { readonly at: Millis; readonly decision: TaskDecision }[] = [];
  readonly answers: TaskAnswer[] = [];
  readonly log: TaskLogEvent[] = [];
  /** Workers that neither get orders nor report. */
  readonly unreachable = new Set<InstanceName>();
  /** While true, writes to the log are not answered. */
  holdsAppends = false;
  /** While true, the configuration and the ownership are confirmed again and again. */
  isFresh = true;
  now: Millis = 0;
  readonly #options: Required<Omit<TaskFleetOptions, 'cfg' | 'allowances'>>;
  readonly #cursors = new Map<InstanceName, number>();
  readonly #nextReport = new Map<InstanceName, Millis>();
  #pending: Pending[] = [];
  #request = 0;

  constructor(options: TaskFleetOptions) {
    this.#options = {
      appendMs: DEFAULT_APPEND_MS,
      reportMs: DEFAULT_REPORT_MS,
      stepMs: DEFAULT_STEP_MS,
      lagMs: 0,
      observe: (_, decide) => decide(),
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
    this.#spreadReports();
    this.give({ type: 'config-changed', cfg: options.cfg });
    this.give({ type: 'allowances', teams: options.allowances });
    this.#confirmFreshness();
    this.give({ type: 'ownership-gained', epoch: 1, log: [], nextBatch: 0 });
    this.#reportAll();
  }

  submit(task: TaskSpec): void {
    this.give({ type: 'submitted', request: this.#nextRequest(), task });
  }

  cancel(team: TeamName, ids: readonly TaskId[]): void {
    this.give({ type: 'cancelled', request: this.#nextRequest(), team, ids });
  }

  /** Moves time on by `ms`, in steps. */
  step(ms: Millis): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.now = Math.min(end, this.now + this.#options.stepMs);
      this.#confirmFreshness();
      this.#givePending();
      for (const [name, at] of this.#nextReport) {
        if (at <= this.now) {
          this.#nextReport.set(name, at + this.#options.reportMs);
          this.report(name);
        }
      }
      this.give({ type: 'tick' });
    }
  }

  /** Hands the worker's report to the decider now. */
  report(name: InstanceName): void {
    const model = this.models.get(name);
    if (model === undefined || this.unreachable.has(name)) {
      return;
    }
    const report = model.report(this.#cursors.get(name) ?? 0, this.now);
    this.#cursors.set(name, report.cursor);
    const requestedAt = this.now;
    this.give({ type: 'worker-report', report: { ...report, worker: name, requestedAt } });
  }

  /** Gives one event to the decider and carries out its decisions. */
  give(event: TaskEvent): void {
    const decide = (): readonly TaskDecision[] => this.decider.handle(event, this.now);
    for (const decision of this.#options.observe(event, decide)) {
      this.decisions.push({ at: this.now, decision });
      this.#carryOut(decision);
    }
  }

  #carryOut(decision: TaskDecision): void {
    switch (decision.type) {
      case 'append':
        this.#append(decision);
        return;
      case 'lease':
        this.#lease(decision);
        return;
      case 'renew':
        for (const order of decision.renewals) {
          this.#model(decision.worker)?.renew(decision.epoch, order, this.now);
        }
        return;
      case 'stop': {
        const { worker, epoch, mode } = decision;
        this.#model(worker)?.stop(epoch, decision, mode, this.now);
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
    this.#pending.push({ at: this.now + this.#options.appendMs, event });
  }

  #lease({ worker, leases }: Extract<TaskDecision, { type: 'lease' }>): void {
    const model = this.#model(worker);
    const results = leases.map((order) => ({
      id: order.id,
      fence: order.fence,
      reply: model?.lease(order, this.now) ?? ('unknown' as const),
    }));
    this.#pending.push({ at: this.now, event: { type: 'lease-result', worker, results } });
  }

  #givePending(): void {
    const isDue = ({ at, event }: Pending): boolean =>
      at <= this.now && !(this.holdsAppends && event.type === 'append-confirmed');
    const due = this.#pending.filter((pending) => isDue(pending));
    this.#pending = this.#pending.filter((pending) => !isDue(pending));
    for (const { event } of due) {
      this.give(event);
    }
  }

  #model(name: InstanceName): WorkerModel | undefined {
    return this.unreachable.has(name) ? undefined : this.models.get(name);
  }

  #confirmFreshness(): void {
    if (this.isFresh) {
      const until = this.now + 8_000;
      this.give({ type: 'freshness', configUntil: until, ownerUntil: until });
    }
  }

  #spreadReports(): void {
    const { reportMs } = this.#options;
    [...this.models.keys()].forEach((name, i) => {
      this.#nextReport.set(name, (i / this.models.size) * reportMs);
    });
  }

  #reportAll(): void {
    for (const name of this.models.keys()) {
      this.report(name);
    }
  }

  #nextRequest(): string {
    this.#request += 1;
    return `r${this.#request}`;
  }
}
