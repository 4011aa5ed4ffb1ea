import type { Clock, Millis, RequestId } from '@turmerichoist/core';
import type { Attempt, AttemptCompletion } from './attempt.js';
import { ConnectionGeneration, type SendOptions } from './connection-generation.js';
import type { UpstreamTarget } from './messages.js';

/**
 * Connections with open attempts but no progress for this long are probed over a new connection.
 */
const SILENT_AFTER_MS = 2_000;

/** Upper bound of the silence time-out, which doubles for an upstream that is slow, not silent. */
const MAX_SILENT_AFTER_MS = 30_000;

/** All connections to one upstream, by generation. New attempts use only the newest one. */
export class UpstreamConnections {
  readonly target: UpstreamTarget;
  readonly #clock: Clock;
  readonly #retired = new Set<ConnectionGeneration>();
  #current: ConnectionGeneration;
  #silentAfterMs: Millis = SILENT_AFTER_MS;
  #probing = false;

  constructor(target: UpstreamTarget, clock: Clock) {
    this.target = target;
    this.#clock = clock;
    this.#current = new ConnectionGeneration(1, target, clock);
  }

  get generation(): number {
    return this.#current.number;
  }

  get open(): number {
    return this.#all().reduce((sum, generation) => sum + generation.attempts.size, 0);
  }

  send(options: SendOptions): void {
    const started = this.#clock.now();
    const onEnd = (end: AttemptCompletion): void => {
      this.#onAttemptEnd(end, this.#clock.now() - started);
      options.onEnd(end);
    };
    this.#current.send({ ...options, onEnd });
  }

  findAttempt(id: RequestId): Attempt | undefined {
    for (const generation of this.#all()) {
      const attempt = generation.attempts.get(id);
      if (attempt !== undefined) {
        return attempt;
      }
    }
    return undefined;
  }

  /**
   * Whether to probe the upstream now: the connections have been silent for too long, or the
   * upstream is suspect and so receives no requests that would show its recovery.
   */
  shouldProbe(suspect: boolean): boolean {
    if (this.#probing || !(suspect || this.#isSilent())) {
      return false;
    }
    this.#probing = true;
    return true;
  }

  /**
   * Handles the result of a probe over a new connection. If the probe succeeded while the current
   * generation is still silent, that generation is replaced. Its idempotent attempts are aborted,
   * so that they can be retried; the others may still get a response. Returns whether it was
   * replaced.
   */
  onProbeResult(generation: number, alive: boolean): boolean {
    this.#probing = false;
    if (!alive || generation !== this.#current.number || !this.#isSilent()) {
      return false;
    }
    const silent = this.#current;
    this.#silentAfterMs = Math.min(this.#silentAfterMs * 2, MAX_SILENT_AFTER_MS);
    this.#current = new ConnectionGeneration(silent.number + 1, this.target, this.#clock);
    this.#retired.add(silent);
    silent.retire();
    for (const attempt of silent.attempts.values()) {
      if (attempt.idempotent && attempt.awaitsResponse) {
        attempt.abort('silent');
      }
    }
    return true;
  }

  /** Closes all connections once the open attempts have ended. */
  retire(): void {
    for (const generation of this.#all()) {
      generation.retire();
    }
  }

  async destroy(): Promise<void> {
    await Promise.all(this.#all().map((generation) => generation.destroy()));
  }

  #all(): readonly ConnectionGeneration[] {
    return [this.#current, ...this.#retired];
  }

  #isSilent(): boolean {
    const attempts = [...this.#current.attempts.values()];
    const latest = Math.max(...attempts.map((attempt) => attempt.lastProgress));
    return attempts.length > 0 && this.#clock.now() - latest >= this.#silentAfterMs;
  }

  #onAttemptEnd(end: AttemptCompletion, tookMs: Millis): void {
    if (end.result.type === 'answered' && tookMs < SILENT_AFTER_MS) {
      this.#silentAfterMs = SILENT_AFTER_MS;
    }
    for (const generation of this.#retired) {
      if (generation.attempts.size === 0) {
        this.#retired.delete(generation);
      }
    }
  }
}
