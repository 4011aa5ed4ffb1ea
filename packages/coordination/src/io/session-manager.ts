import type { Clock, Incarnation, MemberId, Millis, Revision, ZoneName } from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import {
  SESSION_RENEW_MS,
  SESSION_TTL_MS,
  SessionLease,
  memberKey,
  decodeMemberValue,
  type MemberValue,
} from '../state/session.js';
import type { RowVersion, TableStore } from '../store/index.js';
import { callTimeout } from './store/call-timeout.js';

/** Interval between checks of the lease. A failed renewal is retried at the next check. */
const SESSION_TICK_INTERVAL_MS = 250;
/** Half of the lease's lifetime, which leaves time for a second renewal before it lapses. */
const RENEW_TIMEOUT_MS = SESSION_TTL_MS / 2;
/** Maximum wait for the row to be deleted on stop. If it remains, the session expires by itself. */
const STOP_TIMEOUT_MS = 2_000;

export type SessionMessage =
  | { readonly type: 'tick' }
  /** The configuration revision that this member has applied. */
  | { readonly type: 'applied'; readonly revision: Revision }
  /** The unanimous-outage rule applies until `until`. */
  | { readonly type: 'outage'; readonly until: Millis }
  /** Outcome of a renewal. The actor posts it to itself, so that a renewal does not block it. */
  | { readonly type: 'renewal'; readonly sentAt: Millis; readonly outcome: RenewalOutcome }
  /** Ends the session at once and deletes its row. Post it after all other parts have stopped. */
  | { readonly type: 'stop' };

type RenewalOutcome =
  /** The row was written. Its version is undefined if it was overwritten since. */
  | { readonly type: 'written'; readonly version: RowVersion | undefined }
  /** Nothing was written. */
  | { readonly type: 'failed' }
  /** The row may have been written. */
  | { readonly type: 'unknown' }
  /** Another process with this member id has written the row. */
  | { readonly type: 'taken' };

export type SessionEvent =
  | {
      readonly type: 'session';
      readonly incarnation: Incarnation;
      /** Monotonic time until which the session is valid. */
      readonly validUntil: Millis;
      /** Monotonic time until which requests may start under the grants that are held. */
      readonly requestsUntil: Millis;
    }
  /** Roles and grants held under this incarnation must no longer be used. */
  | { readonly type: 'session-ended'; readonly incarnation: Incarnation };

export interface SessionManagerOptions {
  readonly memberId: MemberId;
  readonly address: string;
  readonly zone: ZoneName;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly listeners: readonly Recipient<SessionEvent>[];
  /** Generates unique ids for incarnations and transactions. */
  readonly newId: () => string;
}

/** Owns this member's session: renews its row and reports its validity to listeners. */
export class SessionManager extends Actor<SessionMessage> {
  readonly #options: SessionManagerOptions;
  readonly #key: string;
  #lease: SessionLease;
  #version: RowVersion | undefined;
  #renewalCount = 0;
  #renewedAt: Millis = -Infinity;
  #appliedRevision: Revision = 0;
  #renewing = false;
  #stopped = false;

  constructor(options: SessionManagerOptions, context: ActorContext) {
    super('session', context);
    this.#options = options;
    this.#key = memberKey(options.memberId);
    this.#lease = new SessionLease(options.newId());
  }

  start(): void {
    this.post({ type: 'tick' });
    every(SESSION_TICK_INTERVAL_MS, this.signal, () => {
      this.post({ type: 'tick' });
    });
  }

  protected async receive(message: SessionMessage): Promise<void> {
    switch (message.type) {
      case 'tick':
        this.#tick();
        return;
      case 'applied':
        this.#appliedRevision = message.revision;
        return;
      case 'outage':
        this.#lease.extendGracePeriod(message.until, this.#options.clock.now());
        this.#notifyValidity();
        return;
      case 'renewal':
        this.#onRenewalEnded(message.sentAt, message.outcome);
        return;
      case 'stop':
        return this.#stop();
    }
  }

  #tick(): void {
    const now = this.#options.clock.now();
    if (this.#stopped) {
      return;
    }
    if (this.#lease.hasLapsed(now)) {
      this.#replaceLease();
    }
    if (!this.#renewing && now - this.#renewedAt >= SESSION_RENEW_MS) {
      this.#renewing = true;
      void this.#renew().then((outcome) => this.post({ type: 'renewal', sentAt: now, outcome }));
    }
  }

  #onRenewalEnded(sentAt: Millis, outcome: RenewalOutcome): void {
    this.#renewing = false;
    if (this.#stopped) {
      return;
    }
    switch (outcome.type) {
      case 'written':
        this.#onWritten(sentAt, outcome.version);
        return;
      case 'taken':
        this.log.warn('member row overwritten by another process');
        this.#replaceLease();
        return;
      case 'unknown':
        this.#version = undefined;
        return;
      case 'failed':
    }
  }

  #onWritten(sentAt: Millis, version: RowVersion | undefined): void {
    this.#version = version;
    if (this.#lease.recordRenewal(sentAt, this.#options.clock.now())) {
      this.#renewedAt = sentAt;
      this.#notifyValidity();
    } else {
      this.#replaceLease();
    }
  }

  async #renew(): Promise<RenewalOutcome> {
    const timeout = callTimeout(this.signal, RENEW_TIMEOUT_MS);
    try {
      const version = this.#version ?? (await this.#readVersion(timeout.signal));
      return typeof version === 'number' ? await this.#commitRow(version, timeout.signal) : version;
    } finally {
      timeout.clear();
    }
  }

  async #commitRow(version: RowVersion, signal: AbortSignal): Promise<RenewalOutcome> {
    const { newId, store } = this.#options;
    const key = this.#key;
    const writes = [{ key, value: this.#rowValue() }];
    const txn = { txnId: newId(), conditions: [{ key, version }], writes };
    const sent = await store.commit(txn, signal);
    if (sent.isErr()) {
      this.log.warn('session not renewed', { err: sent.error.kind, detail: sent.error.detail });
      return { type: sent.error.kind === 'outcome-unknown' ? 'unknown' : 'failed' };
    }
    return sent.value.committed
      ? { type: 'written', version: sent.value.versions[key] }
      : { type: 'taken' };
  }

  #rowValue(): MemberValue {
    const { address, zone } = this.#options;
    const { incarnation } = this.#lease;
    this.#renewalCount += 1;
    return {
      incarnation,
      beat: this.#renewalCount,
      address,
      zone,
      appliedRevision: this.#appliedRevision,
    };
  }

  async #readVersion(signal: AbortSignal): Promise<RowVersion | RenewalOutcome> {
    const read = await this.#options.store.read([this.#key], signal);
    if (read.isErr()) {
      return { type: 'failed' };
    }
    const row = read.value[0];
    const owner = row === undefined ? undefined : decodeMemberValue(row.value)?.incarnation;
    const own = !this.#lease.started || owner === this.#lease.incarnation;
    return own ? (row?.version ?? 0) : { type: 'taken' };
  }

  #replaceLease(): void {
    const { incarnation } = this.#lease;
    this.#lease.end();
    this.#lease = new SessionLease(this.#options.newId());
    this.#version = undefined;
    this.#renewedAt = -Infinity;
    this.#notify({ type: 'session-ended', incarnation });
  }

  async #stop(): Promise<void> {
    if (this.#stopped) {
      return;
    }
    this.#stopped = true;
    const { incarnation } = this.#lease;
    this.#lease.end();
    this.#notify({ type: 'session-ended', incarnation });
    if (this.#version === undefined) {
      return;
    }
    const key = this.#key;
    const timeout = callTimeout(this.signal, STOP_TIMEOUT_MS);
    const conditions = [{ key, version: this.#version }];
    const writes = [{ key, value: null }];
    await this.#options.store.commit(
      { txnId: this.#options.newId(), conditions, writes },
      timeout.signal,
    );
    timeout.clear();
  }

  #notifyValidity(): void {
    const { incarnation, validUntil, requestsUntil } = this.#lease;
    this.#notify({ type: 'session', incarnation, validUntil, requestsUntil });
  }

  #notify(event: SessionEvent): void {
    this.#options.listeners.forEach((listener) => listener.post(event));
  }
}
