import type { JobDecision, ReservationChange } from '@turmerichoist/core';
import type { Recipient, Logger, Metrics } from '@turmerichoist/runtime';
import { DecisionLog } from './decision-log.js';
import type { ExecutorLinks } from './executor-links.js';
import type { InstanceControl } from './instance-control.js';
import type { ProgressWriterMessage } from './progress-writer.js';
import type { WaveStatusWriter } from './wave-status-writer.js';

export interface DecisionDispatcherOptions {
  readonly links: Pick<ExecutorLinks, 'post'>;
  readonly writer: Recipient<ProgressWriterMessage>;
  readonly waveStatus: Pick<WaveStatusWriter, 'post'>;
  readonly instances: Pick<InstanceControl, 'order'>;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly onSuperseded: () => void;
}

/** Logs the decisions of an owner and passes each on to the part that carries it out. */
export class DecisionDispatcher {
  readonly #options: DecisionDispatcherOptions;
  readonly #decisionLog: DecisionLog;

  constructor(options: DecisionDispatcherOptions) {
    this.#options = options;
    this.#decisionLog = new DecisionLog(options.log);
  }

  dispatch(decisions: readonly JobDecision[]): void {
    this.#decisionLog.write(decisions);
    decisions.forEach((decision) => {
      this.#options.metrics.count(`owner.${decision.type}`);
      this.#dispatchOne(decision);
    });
  }

  #dispatchOne(decision: JobDecision): void {
    const { links, writer, waveStatus, instances, onSuperseded } = this.#options;
    switch (decision.type) {
      case 'start':
        links.post(decision.executor, { type: 'start', order: decision });
        return;
      case 'stop':
      case 'pace':
        links.post(decision.executor, decision);
        return;
      case 'persist': {
        const { job, progress } = decision;
        writer.post({ type: 'persist', job, progress });
        return;
      }
      case 'acknowledge': {
        const { executor, startedWallMs, through } = decision;
        const acknowledgement = { executor, startedWallMs, through };
        writer.post({ type: 'acknowledge', acknowledgement });
        return;
      }
      case 'order':
        void instances.order(decision.order);
        return;
      case 'wave-status':
        waveStatus.post(decision);
        return;
      case 'reservation':
        this.#countReservation(decision);
        return;
      case 'superseded':
        onSuperseded();
    }
  }

  #countReservation(change: ReservationChange): void {
    const { metrics } = this.#options;
    metrics.gauge('reservations.active', change.active);
    if (change.change === 'ended') {
      metrics.count('reservations.ended', 1, { reason: change.reason });
    }
  }
}
