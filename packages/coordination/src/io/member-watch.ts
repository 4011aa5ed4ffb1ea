import type { Clock, Incarnation, MemberId, Millis } from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import type { MemberRow } from '../state/membership/index.js';
import { SessionObserver, decodeMemberValue } from '../state/session.js';
import type { Row, TableStore } from '../store/index.js';

/** Interval between reads. Must be below the largest gap that `SessionObserver` tolerates. */
export const MEMBER_POLL_MS: Millis = 1_000;
const MEMBER_PREFIX = 'member/';
const MAX_MEMBERS = 2_000;

/** A session that was observed as expired. */
export interface ExpiredSession {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
}

export type MemberWatchEvent =
  | {
      readonly type: 'members-read';
      /** Monotonic time at which the read was sent. */
      readonly sentAt: Millis;
      readonly rows: readonly MemberRow[];
      readonly live: readonly MemberId[];
      readonly expired: readonly ExpiredSession[];
    }
  | { readonly type: 'members-failed' };

type MemberWatchMessage =
  | { readonly type: 'tick' }
  | { readonly type: 'read'; readonly sentAt: Millis; readonly rows: readonly Row[] }
  | { readonly type: 'failed' };

export interface MemberWatchOptions {
  readonly store: TableStore;
  readonly clock: Clock;
  readonly listener: Recipient<MemberWatchEvent>;
}

interface VersionedMemberRow extends MemberRow {
  readonly version: number;
}

/** Polls the member rows and reports which sessions are live and which have expired. */
export class MemberWatch extends Actor<MemberWatchMessage> {
  readonly #options: MemberWatchOptions;
  readonly #observer = new SessionObserver();
  #reading = false;

  constructor(options: MemberWatchOptions, context: ActorContext) {
    super('members', context);
    this.#options = options;
  }

  start(): void {
    this.post({ type: 'tick' });
    every(MEMBER_POLL_MS, this.signal, () => {
      this.post({ type: 'tick' });
    });
  }

  protected receive(message: MemberWatchMessage): void {
    switch (message.type) {
      case 'tick':
        if (!this.#reading) {
          this.#reading = true;
          void this.#read();
        }
        break;
      case 'read':
        this.#reading = false;
        this.#onRead(message.sentAt, message.rows);
        break;
      case 'failed':
        this.#reading = false;
        this.#options.listener.post({ type: 'members-failed' });
        break;
    }
  }

  async #read(): Promise<void> {
    const sentAt = this.#options.clock.now();
    const read = await this.#options.store.range(MEMBER_PREFIX, '', MAX_MEMBERS, this.signal);
    this.post(read.isOk() ? { type: 'read', sentAt, rows: read.value } : { type: 'failed' });
  }

  #onRead(sentAt: Millis, rows: readonly Row[]): void {
    const receivedAt = this.#options.clock.now();
    const members = rows.flatMap(decodeMemberRow);
    const observed = members.map(({ member, version, incarnation }) => ({
      memberId: member,
      version,
      incarnation,
    }));
    this.#observer.observe(observed, { sentAt, receivedAt });
    const live = this.#observer.live().map(({ memberId }) => memberId);
    const expired = members
      .filter(({ member, incarnation }) => this.#observer.hasExpired(member, incarnation))
      .map(({ member, incarnation }) => ({ member, incarnation }));
    this.#options.listener.post({ type: 'members-read', sentAt, rows: members, live, expired });
  }
}

function decodeMemberRow({ key, version, value }: Row): readonly VersionedMemberRow[] {
  const row = decodeMemberValue(value);
  if (row === undefined) {
    return [];
  }
  const { incarnation, address, zone, appliedRevision } = row;
  const member = key.slice(MEMBER_PREFIX.length);
  return [{ member, version, incarnation, address, zone, appliedRevision }];
}
