import type { AppError, Clock, MemberId, Result } from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import { decodeMemberValue, SessionObserver, type ObservedRow } from '../state/session.js';
import {
  OWNER_PREFIX,
  OwnershipState,
  type Holding,
  type OwnershipDecision,
  type OwnerUpdate,
  type Role,
} from '../state/ownership.js';
import type { Row, TableStore, TxnOutcome } from '../store/index.js';
import type { SessionEvent } from './session-manager.js';

/** Interval between reads of the member and owner rows. */
export const OWNERSHIP_POLL_MS = 1_000;
const MEMBER_PREFIX = 'member/';
/** Maximum number of rows per read. The design size has 48 roles and a few dozen members. */
const MAX_ROWS = 2_000;

export type OwnershipMessage =
  | SessionEvent
  | { readonly type: 'tick' }
  /** Replaces the set of existing roles. */
  | { readonly type: 'roles'; readonly roles: readonly Role[] }
  /** Releases all roles and stops claiming. `done` is called once the rows are written. */
  | { readonly type: 'stop'; readonly done: () => void }
  | { readonly type: 'polled'; readonly poll: PolledRows }
  | { readonly type: 'claimed'; readonly claims: readonly CommittedClaim[] };

interface PolledRows {
  readonly sentAt: number;
  readonly members: readonly Row[];
  readonly owners: readonly Row[];
}

interface CommittedClaim {
  readonly update: OwnerUpdate;
  readonly version: number | undefined;
}

/** Changes in the roles that this member holds. Role owners pass them to their `RoleGuard`. */
export type OwnershipEvent =
  | { readonly type: 'owned'; readonly holding: Holding }
  | { readonly type: 'lost'; readonly role: Role };

export interface OwnershipManagerOptions {
  readonly memberId: MemberId;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly newId: () => string;
  readonly listeners: readonly Recipient<OwnershipEvent>[];
}

function toObservedRows(rows: readonly Row[]): readonly ObservedRow[] {
  return rows.flatMap(({ key, version, value }) => {
    const incarnation = decodeMemberValue(value)?.incarnation;
    const memberId = key.slice(MEMBER_PREFIX.length);
    return incarnation === undefined ? [] : [{ memberId, version, incarnation }];
  });
}

/** Claims the roles assigned to this member and notifies listeners of those it holds. */
export class OwnershipManager extends Actor<OwnershipMessage> {
  readonly #options: OwnershipManagerOptions;
  readonly #state: OwnershipState;
  readonly #observer = new SessionObserver();
  #storeCallInFlight = false;
  #stopped = false;

  constructor(options: OwnershipManagerOptions, context: ActorContext) {
    super('ownership', context);
    this.#options = options;
    this.#state = new OwnershipState(options.memberId);
  }

  start(): void {
    every(OWNERSHIP_POLL_MS, this.signal, () => {
      this.post({ type: 'tick' });
    });
  }

  protected async receive(message: OwnershipMessage): Promise<void> {
    switch (message.type) {
      case 'session':
        this.#state.onSessionValid(message.incarnation);
        return;
      case 'session-ended':
        this.#notify(this.#state.onSessionEnded(message.incarnation));
        return;
      case 'roles':
        this.#notify(this.#state.setRoles(message.roles));
        return;
      case 'tick':
        this.#tick();
        return;
      case 'polled':
        this.#onPolled(message.poll);
        return;
      case 'claimed':
        this.#onClaimed(message.claims);
        return;
      case 'stop':
        await this.#stop();
        message.done();
    }
  }

  /** Reads outside the mailbox, so that a slow read does not delay a `session-ended` message. */
  #tick(): void {
    if (this.#storeCallInFlight || this.#stopped) {
      return;
    }
    this.#storeCallInFlight = true;
    void this.#read().then((poll) => {
      this.#storeCallInFlight = false;
      return poll === undefined ? undefined : this.post({ type: 'polled', poll });
    });
  }

  async #read(): Promise<PolledRows | undefined> {
    const { store, clock } = this.#options;
    const sentAt = clock.now();
    const [members, owners] = await Promise.all([
      store.range(MEMBER_PREFIX, '', MAX_ROWS, this.signal),
      store.range(OWNER_PREFIX, '', MAX_ROWS, this.signal),
    ]);
    if (members.isErr() || owners.isErr()) {
      return undefined;
    }
    if (Math.max(members.value.length, owners.value.length) >= MAX_ROWS) {
      // A member whose row is missing from a truncated read would look as if it had left.
      this.log.error('too many member or owner rows', { limit: MAX_ROWS });
      return undefined;
    }
    return { sentAt, members: members.value, owners: owners.value };
  }

  #onPolled({ sentAt, members, owners }: PolledRows): void {
    if (this.#stopped) {
      return;
    }
    const receivedAt = this.#options.clock.now();
    this.#observer.observe(toObservedRows(members), { sentAt, receivedAt });
    const decisions = this.#state.plan(owners, this.#observer);
    this.#notify(decisions);
    const claims = decisions.flatMap((one) => (one.type === 'claim' ? [one.update] : []));
    if (claims.length > 0) {
      this.#storeCallInFlight = true;
      void this.#claim(claims).then((claimed) => {
        this.#storeCallInFlight = false;
        this.post({ type: 'claimed', claims: claimed });
      });
    }
  }

  /**
   * Claims all roles in one transaction. When other members have claimed some of them meanwhile,
   * claims the remaining ones in a second transaction.
   */
  async #claim(updates: readonly OwnerUpdate[]): Promise<readonly CommittedClaim[]> {
    const first = await this.#commit(updates);
    if (first.isErr()) {
      // The next poll shows whether the claims were committed.
      return [];
    }
    if (first.value.committed) {
      return committedClaims(updates, first.value.versions);
    }
    const { failed } = first.value;
    const remaining = updates.filter(({ condition }) => !failed.includes(condition.key));
    const second = remaining.length === 0 ? first : await this.#commit(remaining);
    return second.isOk() && second.value.committed
      ? committedClaims(remaining, second.value.versions)
      : [];
  }

  #commit(updates: readonly OwnerUpdate[]): Promise<Result<TxnOutcome, AppError>> {
    const txn = {
      txnId: this.#options.newId(),
      conditions: updates.map(({ condition }) => condition),
      writes: updates.map(({ write }) => write),
    };
    return this.#options.store.commit(txn, this.signal);
  }

  #onClaimed(claims: readonly CommittedClaim[]): void {
    if (!this.#stopped) {
      claims.forEach(({ update, version }) => {
        this.#notify(this.#state.onClaimed(update, version));
      });
    }
  }

  async #stop(): Promise<void> {
    this.#stopped = true;
    const roles = this.#state.held.map(({ role }) => role);
    const updates = this.#state.releaseAll();
    this.#notify(roles.map((role) => ({ type: 'lost', role })));
    if (updates.length > 0) {
      await this.#commit(updates);
    }
  }

  #notify(decisions: readonly OwnershipDecision[]): void {
    for (const decision of decisions) {
      if (decision.type !== 'claim') {
        this.#options.listeners.forEach((listener) => listener.post(decision));
      }
    }
  }
}

function committedClaims(
  updates: readonly OwnerUpdate[],
  versions: Readonly<Record<string, number>>,
): readonly CommittedClaim[] {
  return updates.map((update) => ({ update, version: versions[update.condition.key] }));
}
