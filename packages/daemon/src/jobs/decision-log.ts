import { taskKey, type JobDecision, type ReservationChange } from '@turmerichoist/core';
import type { Logger } from '@turmerichoist/runtime';

/** Logs the decisions of an owner: one line each, and one for all starts that an event leads to. */
export class DecisionLog {
  readonly #log: Logger;

  constructor(log: Logger) {
    this.#log = log;
  }

  write(decisions: readonly JobDecision[]): void {
    const starts: string[] = [];
    for (const decision of decisions) {
      if (decision.type === 'start') {
        starts.push(`${taskKey(decision.task)}#${decision.attempt} ${decision.executor}`);
      } else {
        this.#writeOne(decision);
      }
    }
    if (starts.length > 0) {
      // A line for each start would be hundreds a second.
      this.#log.info('starts ordered', { starts });
    }
  }

  #writeOne(decision: JobDecision): void {
    switch (decision.type) {
      case 'stop': {
        const { executor, task, attempt, why } = decision;
        this.#log.info('stop ordered', { executor, job: task.jobId, task, attempt, why });
        return;
      }
      case 'pace': {
        const { executor, task, attempt, percent } = decision;
        this.#log.info('pace ordered', { executor, job: task.jobId, task, attempt, percent });
        return;
      }
      case 'persist': {
        const { job, progress } = decision;
        if (progress.endedWallMs > 0) {
          this.#log.info('job ended', { job, state: progress.state });
        }
        return;
      }
      case 'reservation':
        this.#writeReservation(decision);
        return;
      default:
    }
  }

  #writeReservation(change: ReservationChange): void {
    const { executor, job, team, pool, resources, availableAt, madeAt } = change.reservation;
    const fields = { executor, job, team, pool, resources, active: change.active };
    if (change.change === 'made') {
      const { waitedMs, meanTaskMs, reportAgeMs } = change;
      this.#log.info('reservation made', {
        ...fields,
        waitedMs: Math.round(waitedMs),
        meanTaskMs: Math.round(meanTaskMs),
        availableInMs: Math.round(availableAt - madeAt),
        reportAgeMs: Math.round(reportAgeMs),
      });
      return;
    }
    const { reason, heldMs } = change;
    this.#log.info('reservation ended', { ...fields, reason, heldMs: Math.round(heldMs) });
  }
}
