import type { Clock, JobEvent, Millis, RecoverySummary } from '@turmerichoist/core';
import type { LogFields } from '@turmerichoist/runtime';

/** Measures how long after the election an owner reaches the steps of a takeover. */
export class TakeoverTimes {
  readonly #clock: Clock;
  readonly #electedAt: Millis;
  #firstLeaseMs: Millis | undefined;
  #jobsLoadedMs: Millis | undefined;
  #reported = false;
  #recoveryReported = false;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#electedAt = clock.now();
  }

  /** Records an event that is about to be handled. */
  onEvent(event: JobEvent): void {
    if (event.type === 'lease') {
      this.#firstLeaseMs ??= this.#elapsedMs();
    } else if (event.type === 'jobs') {
      this.#jobsLoadedMs ??= this.#elapsedMs();
    }
  }

  /** Called when the decider has made decisions. Returns all times with the first of them. */
  onDecided(): LogFields | undefined {
    if (this.#reported) {
      return undefined;
    }
    this.#reported = true;
    return {
      firstLeaseMs: this.#firstLeaseMs,
      jobsLoadedMs: this.#jobsLoadedMs,
      firstDecisionMs: this.#elapsedMs(),
    };
  }

  /** Takes what the decider says of the recovery. Returns it, with the time, once it is over. */
  onRecovery(summary: RecoverySummary | undefined): LogFields | undefined {
    if (this.#recoveryReported || summary === undefined) {
      return undefined;
    }
    this.#recoveryReported = true;
    return { recoveryMs: this.#elapsedMs(), ...summary };
  }

  #elapsedMs(): Millis {
    return Math.round(this.#clock.now() - this.#electedAt);
  }
}
