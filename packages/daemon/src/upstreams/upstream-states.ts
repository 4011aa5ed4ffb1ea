import { NEVER, type Clock, type Millis, type UpstreamName } from '@turmerichoist/core';

export type UpstreamState = 'healthy' | 'suspect' | 'leaving';

/** An upstream that announced that it leaves is used again after this time, in case it stayed. */
const LEAVING_TIMEOUT_MS: Millis = 60_000;

interface UpstreamStatus {
  readonly suspect: boolean;
  readonly leavingUntil: Millis;
}

const INITIAL_STATUS: UpstreamStatus = { suspect: false, leavingUntil: NEVER };

/**
 * Combines probe results and leave announcements. `leaving` takes precedence over a successful
 * probe.
 */
export class UpstreamStates {
  readonly #clock: Clock;
  readonly #statuses = new Map<UpstreamName, UpstreamStatus>();
  #listedLeaving: ReadonlySet<UpstreamName> = new Set();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  state(upstream: UpstreamName): UpstreamState {
    const { suspect, leavingUntil } = this.#statuses.get(upstream) ?? INITIAL_STATUS;
    if (this.#listedLeaving.has(upstream) || this.#clock.now() < leavingUntil) {
      return 'leaving';
    }
    return suspect ? 'suspect' : 'healthy';
  }

  /** Records whether a probe over a new connection succeeded. */
  recordProbe(upstream: UpstreamName, alive: boolean): void {
    const known = this.#statuses.get(upstream) ?? INITIAL_STATUS;
    this.#statuses.set(upstream, { ...known, suspect: !alive });
  }

  isSuspect(upstream: UpstreamName): boolean {
    return this.#statuses.get(upstream)?.suspect ?? false;
  }

  /** Records that the upstream announced in a response that it leaves. */
  markLeaving(upstream: UpstreamName): void {
    const known = this.#statuses.get(upstream) ?? INITIAL_STATUS;
    this.#statuses.set(upstream, {
      ...known,
      leavingUntil: this.#clock.now() + LEAVING_TIMEOUT_MS,
    });
  }

  /** Replaces the set of upstreams that the platform lists as leaving. */
  setListedLeaving(upstreams: readonly UpstreamName[]): void {
    this.#listedLeaving = new Set(upstreams);
  }

  /** Discards the status of an upstream that was removed or whose target changed. */
  forget(upstream: UpstreamName): void {
    this.#statuses.delete(upstream);
  }
}
