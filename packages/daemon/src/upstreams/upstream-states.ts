import type { Clock, Millis, UpstreamName } from '@turmerichoist/core';

export type UpstreamState = 'healthy' | 'suspect' | 'leaving';

/** An upstream that said itself that it leaves is tried again after this, in case it stayed. */
const LEAVING_MS: Millis = 60_000;

interface Known {
  readonly suspect: boolean;
  readonly leavingUntil: Millis;
}

const UNKNOWN: Known = { suspect: false, leavingUntil: Number.NEGATIVE_INFINITY };

/** Merges what is known of each upstream: a leaving one stays so even when a probe succeeds. */
export class UpstreamStates {
  readonly #clock: Clock;
  readonly #known = new Map<UpstreamName, Known>();
  #listed: ReadonlySet<UpstreamName> = new Set();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  state(upstream: UpstreamName): UpstreamState {
    const { suspect, leavingUntil } = this.#known.get(upstream) ?? UNKNOWN;
    if (this.#listed.has(upstream) || this.#clock.now() < leavingUntil) {
      return 'leaving';
    }
    return suspect ? 'suspect' : 'healthy';
  }

  /** A probe over a new connection succeeded or failed. */
  probed(upstream: UpstreamName, alive: boolean): void {
    const known = this.#known.get(upstream) ?? UNKNOWN;
    this.#known.set(upstream, { ...known, suspect: !alive });
  }

  isSuspect(upstream: UpstreamName): boolean {
    return this.#known.get(upstream)?.suspect ?? false;
  }

  /** The upstream said that it leaves. */
  saidLeaving(upstream: UpstreamName): void {
    const known = this.#known.get(upstream) ?? UNKNOWN;
    this.#known.set(upstream, { ...known, leavingUntil: this.#clock.now() + LEAVING_MS });
  }

  /** All upstreams that the platform lists as leaving. */
  listed(upstreams: readonly UpstreamName[]): void {
    this.#listed = new Set(upstreams);
  }

  /** The upstream is gone or has another address. */
  forget(upstream: UpstreamName): void {
    this.#known.delete(upstream);
  }
}
