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
import type { SessionEvent } from './session-keeper.js';

/** Period at which sessions and owners are read. */
export const OWNERSHIP_POLL_MS = 1_000;
const MEMBER_PREFIX = 'member/';
/** Bound of one read. The design size has 48 roles and a few dozen members. */
const MAX_ROWS = 2_000;

export type OwnershipMessage =
  | SessionEvent
  | { readonly type: 'tick' }
  /** The roles that exist now. */
  | { readonly type: 'roles'; readonly roles: readonly Role[] }
  /** Gives up all roles and claims no more. `done` is called when the rows are written. */
  | { readonly type: 'stop'; readonly done: () => void }
  | { readonly type: 'polled'; readonly poll: Poll }
  | { readonly type: 'claimed'; readonly claims: readonly Claimed[] };

interface Poll {
  readonly sentAt: number;
  readonly members: readonly Row[];
  readonly owners: readonly Row[];
}

interface Claimed {
  readonly update: OwnerUpdate;
  readonly version: number | undefined;
}

/** Which roles this member holds. Owners pass these to their `RoleGuard`. */
export type OwnershipEvent =
  | { readonly type: 'owned'; readonly holding: Holding }
  | { readonly type: 'lost'; readonly role: Role };

export interface OwnershipKeeperOptions {
  readonly memberId: MemberId;
  readonly store: TableStore;
  readonly clock: Clock;
  readonly newId: () => string;
  readonly listeners: readonly Recipient<OwnershipEvent>[];
}

function observedRows(rows: readonly Row[]): readonly ObservedRow[] {
  return rows.flatMap(({ key, version, value }) => {
    const incarnation = decodeMemberValue(value)?.incarnation;
    const memberId = key.slice(MEMBER_PREFIX.length);
    return incarnation === undefined ? [] : [{ memberId, version, incarnation }];
  });
}

/** Claims the roles that fall to this member and tells listeners which ones it holds. */
export class OwnershipKeeper extends Actor<OwnershipMessage> {
  readonly #options: OwnershipKeeperOptions;
  readonly #state: OwnershipState;
  readonly #observer = new SessionObserver();
  #busy = false;
  #stopped = false;

  constructor(options: OwnershipKeeperOptions, context: ActorContext) {
    super('ownership', context);
    this.#options = options;
    this.#state = new OwnershipState(options.memberId);
  }

  /** Starts the timer. */
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
        this.#tell(this.#state.onSessionEnded(message.incarnation));
        return;
      case 'roles':
        this.#tell(this.#state.setRoles(message.roles));
        return;
      case 'tick':
        this.#tick();
        return;
      case 'polled':
        this.#polled(message.poll);
        return;
      case 'claimed':
        this.#claimed(message.claims);
        return;
      case 'stop':
        await this.#stop();
        message.done();
    }
  }

  /** Reads beside the mailbox, so that the end of the session is heard at once. */
  #tick(): void {
    if (this.#busy || this.#stopped) {
      return;
    }
    this.#busy = true;
    void this.#read().then((poll) => {
      this.#busy = false;
      return poll === undefined ? undefined : this.post({ type: 'polled', poll });
    });
  }

  async #read(): Promise<Poll | undefined> {
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
      // A member whose row was cut off would look as if it had left.
      this.log.error('too many member or owner rows', { limit: MAX_ROWS });
      return undefined;
    }
    return { sentAt, members: members.value, owners: owners.value };
  }

  #polled({ sentAt, members, owners }: Poll): void {
    if (this.#stopped) {
      return;
    }
    const receivedAt = this.#options.clock.now();
    this.#observer.observe(observedRows(members), { sentAt, receivedAt });
    const decisions = this.#state.plan(owners, this.#observer);
    this.#tell(decisions);
    const claims = decisions.flatMap((one) => (one.type === 'claim' ? [one.update] : []));
    if (claims.length > 0) {
      this.#busy = true;
      void this.#claim(claims).then((claimed) => {
        this.#busy = false;
        this.post({ type: 'claimed', claims: claimed });
      });
    }
  }

  /** Claims in one transaction; when some were claimed by others meanwhile, the rest once more. */
  async #claim(updates: readonly OwnerUpdate[]): Promise<readonly Claimed[]> {
    const first = await this.#commit(updates);
    if (first.isErr()) {
      // The next poll shows whether the claims took effect.
      return [];
    }
    if (first.value.committed) {
      return versionsOf(updates, first.value.versions);
    }
    const { failed } = first.value;
    const rest = updates.filter(({ condition }) => !failed.includes(condition.key));
    const second = rest.length === 0 ? first : await this.#commit(rest);
    return second.isOk() && second.value.committed ? versionsOf(rest, second.value.versions) : [];
  }

  #commit(updates: readonly OwnerUpdate[]): Promise<Result<TxnOutcome, AppError>> {
    const txn = {
      txnId: this.#options.newId(),
      conditions: updates.map(({ condition }) => condition),
      writes: updates.map(({ write }) => write),
    };
    return this.#options.store.commit(txn, this.signal);
  }

  #claimed(claims: readonly Claimed[]): void {
    if (!this.#stopped) {
      claims.forEach(({ update, version }) => {
        this.#tell(this.#state.onClaimed(update, version));
      });
    }
  }

  async #stop(): Promise<void> {
    this.#stopped = true;
    const roles = this.#state.held.map(({ role }) => role);
    const updates = this.#state.releaseAll();
    this.#tell(roles.map((role) => ({ type: 'lost', role })));
    if (updates.length > 0) {
      await this.#commit(updates);
    }
  }

  #tell(decisions: readonly OwnershipDecision[]): void {
    for (const decision of decisions) {
      if (decision.type !== 'claim') {
        this.#options.listeners.forEach((listener) => listener.post(decision));
      }
    }
  }
}

function versionsOf(
  updates: readonly OwnerUpdate[],
  versions: Readonly<Record<string, number>>,
): readonly Claimed[] {
  return updates.map((update) => ({ update, version: versions[update.condition.key] }));
}
