import type { Change, Configuration, InstanceName, Millis, TaskSpec } from '@turmerichoist/core';
import { TaskFleetSimulation } from '@turmerichoist/stand-ins';
import { POOL, allowancesOf, configurationOf, type Deployment } from '../tasks/deployments.js';
import type { Trace, TraceEvent } from './format.js';
import { InvariantChecker, type InvariantViolations } from './invariants.js';

const STEP_MS: Millis = 100;
const REPORT_MS: Millis = 500;
/** Period at which a failed worker is reported as unreachable, equal to the poll period. */
const UNREACHABLE_PERIOD_MS: Millis = 1_000;
/** Time after the trace in which accepted tasks must end; the longest runs take a few minutes. */
const SETTLE_MS: Millis = 900_000;

export interface ReplayReport {
  readonly arrivals: number;
  readonly starts: number;
  readonly broken: InvariantViolations;
  /** Virtual time when the last accepted task had ended. */
  readonly settledMs: Millis;
}

/** Replays a trace through the task decisions on a virtual clock, without a network. */
export function replay(trace: Trace, deployment: Deployment): ReplayReport {
  return new Replay(trace, deployment).run();
}

class Replay {
  readonly #trace: Trace;
  readonly #fleet: TaskFleetSimulation;
  readonly #checker: InvariantChecker;
  readonly #recoversAt = new Map<InstanceName, Millis>();
  #cfg: Configuration;
  #starts = 0;

  constructor(trace: Trace, deployment: Deployment) {
    this.#trace = trace;
    this.#cfg = configurationOf(deployment);
    const allowances = allowancesOf(deployment);
    const timing = { stepMs: STEP_MS, reportMs: REPORT_MS };
    this.#fleet = new TaskFleetSimulation({ pool: POOL, cfg: this.#cfg, allowances, ...timing });
    const instances = this.#cfg.list('instance');
    this.#checker = new InvariantChecker(
      new Map(instances.map(({ name, spec }) => [name, spec.zone])),
    );
  }

  run(): ReplayReport {
    const { header, events } = this.#trace;
    let next = 0;
    const end = header.durationMs + SETTLE_MS;
    while (this.#fleet.now < end) {
      for (let event = events[next]; event !== undefined; event = events[next]) {
        if (event.at > this.#fleet.now) {
          break;
        }
        this.#apply(event);
        next += 1;
      }
      this.#step();
      if (
        next === events.length &&
        this.#checker.openTaskCount === 0 &&
        this.#recoversAt.size === 0
      ) {
        break;
      }
    }
    const broken = this.#checker.countViolations(this.#fleet.models, this.#fleet.now);
    const arrivals = events.filter(({ type }) => type === 'arrival').length;
    return { arrivals, starts: this.#starts, broken, settledMs: this.#fleet.now };
  }

  #apply(event: TraceEvent): void {
    this.#checker.observe(event, this.#fleet.now);
    switch (event.type) {
      case 'arrival':
        this.#fleet.submit(specOf(event));
        return;
      case 'cancellation':
        this.#fleet.cancel(event.team, event.ids);
        return;
      case 'operator':
        this.#setZone(event.zone, event.state);
        return;
      case 'failure':
        event.instances.forEach((name) => {
          this.#fail(name, event.downMs);
        });
    }
  }

  #setZone(name: string, state: 'in' | 'out'): void {
    const zone = this.#cfg.get('zone', name);
    if (zone === undefined) {
      return;
    }
    const revision = this.#cfg.revision + 1;
    const resource = { ...zone, version: revision, spec: { ...zone.spec, state } };
    const changes: readonly Change[] = [{ op: 'put', resource }];
    this.#cfg = this.#cfg.with(revision, changes);
    this.#fleet.dispatch({ type: 'config-changed', cfg: this.#cfg });
  }

  #fail(name: InstanceName, downMs: Millis): void {
    this.#fleet.models.get(name)?.reboot(this.#fleet.now);
    this.#fleet.unreachableWorkers.add(name);
    this.#recoversAt.set(name, this.#fleet.now + downMs);
  }

  #step(): void {
    this.#fleet.step(STEP_MS);
    const { now, answers, log } = this.#fleet;
    for (const [name, at] of this.#recoversAt) {
      if (at <= now) {
        this.#recoversAt.delete(name);
        this.#fleet.unreachableWorkers.delete(name);
      } else if (now % UNREACHABLE_PERIOD_MS === 0) {
        this.#fleet.dispatch({ type: 'worker-unreachable', worker: name });
      }
    }
    this.#starts += log.filter(({ type }) => type === 'leased').length;
    this.#checker.record(answers, log, now);
    answers.length = 0;
    log.length = 0;
    this.#fleet.decisions.length = 0;
  }
}

function specOf(arrival: Extract<TraceEvent, { type: 'arrival' }>): TaskSpec {
  const { id, team, workClass, resources, used, idempotent, runMs } = arrival;
  const usage = `processors=${used.processors} memoryMb=${used.memoryMb}`;
  const command = `${team} ms=${runMs} ${usage}`;
  return { id, team, workClass, resources, constraints: {}, idempotent, command };
}
