import type { ExecutorId, JobEvent } from '@turmerichoist/core';

type ReportEvent = Extract<JobEvent, { type: 'report' }>;

/**
 * Decides which events the decider may handle. Until the jobs are loaded, only the leases in reports
 * are passed on, since the decider would take runs of jobs that it does not know for foreign ones.
 */
export class ReportGate {
  /** Latest report of each executor; undefined once the jobs are loaded. */
  #held: Map<ExecutorId, ReportEvent> | undefined = new Map();

  /** Returns the events to be handled now, in order. The first `jobs` event releases all reports. */
  admit(event: JobEvent): readonly JobEvent[] {
    if (this.#held === undefined) {
      return [event];
    }
    if (event.type === 'jobs') {
      const held = [...this.#held.values()];
      this.#held = undefined;
      return [event, ...held];
    }
    return event.type === 'report' ? [this.#hold(this.#held, event)] : [event];
  }

  /** A later report contains what an earlier one does, as ends are listed until acknowledged. */
  #hold(held: Map<ExecutorId, ReportEvent>, event: ReportEvent): JobEvent {
    const { executor, sentAt } = event.report;
    if (sentAt >= (held.get(executor)?.report.sentAt ?? -Infinity)) {
      held.set(executor, event);
    }
    return { type: 'lease', executor, leaseEndsAt: event.leaseEndsAt };
  }
}
