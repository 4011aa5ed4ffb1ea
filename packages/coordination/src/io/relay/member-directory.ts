import { z } from 'zod';
import type { Clock, Millis } from '@turmerichoist/core';
import { sleep, type Logger } from '@turmerichoist/runtime';
import type { RelayCandidate } from '../../state/relay/index.js';
import type { ChangeFeed, RowChange, TableStore } from '../../store/index.js';
import { watchTable } from '../table-watch.js';

const MEMBERS_TABLE = 'members';
/** Row with the secret that members authenticate their links with. */
const SECRET_KEY = 'links/secret';
const RETRY_MS: Millis = 500;
/** Long-poll time of one request for changes. */
const WAIT_MS: Millis = 30_000;
/** Members start together; the pause lets most of their rows come with one answer. */
const PAUSE_MS: Millis = 2_000;

const memberSchema = z.object({ address: z.string(), zone: z.string(), capacity: z.number() });
const secretSchema = z.object({ secret: z.string().min(1) });

export interface MemberDirectoryOptions {
  readonly self: RelayCandidate;
  readonly store: TableStore & ChangeFeed;
  readonly clock: Clock;
  readonly newId: () => string;
  /** A new random secret, which is used if the store has none. */
  readonly newSecret: () => string;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/**
 * The members of a cell and the secret of their links, as the rows in the store say. A member that
 * the store does not serve goes by the rows that it has read before.
 */
export class MemberDirectory {
  readonly #options: MemberDirectoryOptions;
  readonly #members = new Map<string, RelayCandidate>();

  constructor(options: MemberDirectoryOptions) {
    this.#options = options;
  }

  /** All members that have written their row, which may have ended since. */
  get members(): readonly RelayCandidate[] {
    return [...this.#members.values()];
  }

  /** Returns the secret, which is inserted if absent; undefined if the signal is aborted. */
  async secret(): Promise<Uint8Array | undefined> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      const secret = await this.#readSecret();
      if (secret !== undefined) {
        return Buffer.from(secret);
      }
      await sleep(RETRY_MS, signal);
    }
    return undefined;
  }

  /** Writes the row of this member, which is to listen already. */
  async announce(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted && !(await this.#writeSelf())) {
      await sleep(RETRY_MS, signal);
    }
  }

  /** Follows the rows of the members until the signal is aborted. */
  async watch(): Promise<void> {
    const { store, clock, log, signal } = this.#options;
    await watchTable({
      feed: store,
      table: MEMBERS_TABLE,
      clock,
      log,
      waitMs: WAIT_MS,
      pauseMs: PAUSE_MS,
      onChanges: (rows, snapshot) => {
        this.#onChanges(rows, snapshot);
      },
      signal,
    });
  }

  async #writeSelf(): Promise<boolean> {
    const { self, store, newId, signal } = this.#options;
    const { member, address, zone, capacity } = self;
    const writes = [{ key: `${MEMBERS_TABLE}/${member}`, value: { address, zone, capacity } }];
    const written = await store.commit({ txnId: newId(), conditions: [], writes }, signal);
    return written.isOk() && written.value.committed;
  }

  /** Reads the secret after inserting one if there was none. */
  async #readSecret(): Promise<string | undefined> {
    const { store, newId, newSecret, signal } = this.#options;
    const read = await store.read([SECRET_KEY], signal);
    if (read.isErr()) {
      return undefined;
    }
    const row = read.value[0];
    const parsed = secretSchema.safeParse(row?.value);
    if (parsed.success) {
      return parsed.data.secret;
    }
    const conditions = [{ key: SECRET_KEY, version: row?.version ?? 0 }];
    const writes = [{ key: SECRET_KEY, value: { secret: newSecret() } }];
    await store.commit({ txnId: newId(), conditions, writes }, signal);
    return undefined;
  }

  #onChanges(rows: readonly RowChange[], snapshot: boolean): void {
    if (snapshot) {
      this.#members.clear();
    }
    for (const { key, value } of rows) {
      const member = key.slice(MEMBERS_TABLE.length + 1);
      const parsed = memberSchema.safeParse(value);
      if (parsed.success) {
        this.#members.set(member, { member, ...parsed.data });
      } else {
        this.#members.delete(member);
      }
    }
  }
}
