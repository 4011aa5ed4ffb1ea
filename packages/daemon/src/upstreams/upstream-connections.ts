import type { Clock, Millis, RequestId } from '@turmerichoist/core';
import type { Attempt, AttemptEnd } from './attempt.js';
import { Generation, type Send } from './generation.js';
import type { UpstreamTarget } from './messages.js';

/** Without progress for this long a path is suspected, and a new connection is tried. */
export const SILENT_AFTER_MS = 2_000;

/** Bound of the suspicion time for an upstream that is slow rather than silent. */
const MAX_SILENT_AFTER_MS = 30_000;

/** All connections to one upstream, in generations. Only the newest one gets new work. */
export class UpstreamConnections {
  readonly target: UpstreamTarget;
  readonly #clock: Clock;
  readonly #old = new Set<Generation>();
  #current: Generation;
  #silentAfterMs: Millis = SILENT_AFTER_MS;
  #probing = false;

  constructor(target: UpstreamTarget, clock: Clock) {
    this.target = target;
    this.#clock = clock;
    this.#current = new Generation(1, target, clock);
  }

  get generation(): number {
    return this.#current.number;
  }

  get open(): number {
    return this.#all().reduce((sum, generation) => sum + generation.attempts.size, 0);
  }

  send(send: Send): void {
    const started = this.#clock.now();
    const onEnd = (end: AttemptEnd): void => {
      this.#learn(end, this.#clock.now() - started);
      send.onEnd(end);
    };
    this.#current.send({ ...send, onEnd });
  }

  find(id: RequestId): Attempt | undefined {
    for (const generation of this.#all()) {
      const attempt = generation.attempts.get(id);
      if (attempt !== undefined) {
        return attempt;
      }
    }
    return undefined;
  }

  /**
   * Whether the path should be probed now: attempts wait and none has made progress of late, or the
   * upstream is suspect and gets no work that would show its recovery.
   */
  shouldProbe(suspect: boolean): boolean {
    if (this.#probing || !(suspect || this.#isSilent())) {
      return false;
    }
    this.#probing = true;
    return true;
  }

  /**
   * Takes the result of a probe over a new connection. When the new connection works while the
   * current generation is still silent, the generation is retired and its idempotent attempts are
   * ended, so that they can be repeated; the others keep their chance of an answer.
   */
  probed(generation: number, alive: boolean): boolean {
    this.#probing = false;
    if (!alive || generation !== this.#current.number || !this.#isSilent()) {
      return false;
    }
    const silent = this.#current;
    this.#silentAfterMs = Math.min(this.#silentAfterMs * 2, MAX_SILENT_AFTER_MS);
    this.#current = new Generation(silent.number + 1, this.target, this.#clock);
    this.#old.add(silent);
    silent.retire();
    for (const attempt of silent.attempts.values()) {
      if (attempt.idempotent && attempt.awaitsAnswer) {
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

  #all(): readonly Generation[] {
    return [this.#current, ...this.#old];
  }

  #isSilent(): boolean {
    const attempts = [...this.#current.attempts.values()];
    const latest = Math.max(...attempts.map((attempt) => attempt.lastProgress));
    return attempts.length > 0 && this.#clock.now() - latest >= this.#silentAfterMs;
  }

  #learn(end: AttemptEnd, tookMs: Millis): void {
    if (end.result.type === 'answered' && tookMs < SILENT_AFTER_MS) {
      this.#silentAfterMs = SILENT_AFTER_MS;
    }
    for (const generation of this.#old) {
      if (generation.attempts.size === 0) {
        this.#old.delete(generation);
      }
    }
  }
}
