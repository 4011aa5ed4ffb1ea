import { ownerKey, type JsonValue, type TableStore } from '@turmerichoist/coordination';
import {
  fail,
  Ok,
  type AppError,
  type Clock,
  type MemberId,
  type Millis,
  type PoolName,
  type Result,
} from '@turmerichoist/core';
import { z } from 'zod';
import type { AskPeer } from '../peers/index.js';
import type { TaskCommand } from './messages.js';
import { poolRole, type PoolOwners } from './pool-owners.js';

/** Time-out of a command that is sent to the pool's owner. */
const OWNER_TIMEOUT_MS: Millis = 5_000;

/** Time for which a cached owner is used before its row is read again. */
const OWNER_CACHE_TTL_MS: Millis = 1_000;

const ownerBody = z.object({ member: z.string(), released: z.boolean().default(false) });

export interface TaskRouterOptions {
  readonly self: MemberId;
  readonly clock: Clock;
  readonly store: TableStore;
  readonly owners: PoolOwners;
  readonly ask: AskPeer;
}

interface CachedOwner {
  readonly member: MemberId;
  readonly readAt: Millis;
}

/** Routes commands to the entry that owns their pool. */
export class TaskRouter {
  readonly #options: TaskRouterOptions;
  readonly #cachedOwners = new Map<PoolName, CachedOwner>();

  constructor(options: TaskRouterOptions) {
    this.#options = options;
  }

  /**
   * Executes a command at the pool's owner. Errors: `not-owner` when the pool has none now,
   * `outcome-unknown` when the owner did not reply, and those of the owner.
   */
  async route(command: TaskCommand, signal: AbortSignal): Promise<Result<unknown, AppError>> {
    const { owners, self, ask } = this.#options;
    if (owners.owns(command.pool)) {
      return owners.command(command);
    }
    const member = await this.#ownerOf(command.pool, signal);
    if (member.isErr()) {
      return member;
    }
    if (member.value === self) {
      return fail('not-owner', `pool/${command.pool} is being taken over`);
    }
    const body = command as unknown as JsonValue;
    const answer = await ask(member.value, body, OWNER_TIMEOUT_MS, signal);
    return answer.mapErr((err) => this.#mapPeerError(command, err));
  }

  /** A command without a reply may have taken effect, unless it only reads. */
  #mapPeerError(command: TaskCommand, err: AppError): AppError {
    this.#cachedOwners.delete(command.pool);
    return err.kind === 'peer-unavailable' && command.type !== 'show'
      ? { kind: 'outcome-unknown', detail: 'the owner of the pool did not answer' }
      : err;
  }

  async #ownerOf(pool: PoolName, signal: AbortSignal): Promise<Result<MemberId, AppError>> {
    const { clock, store } = this.#options;
    const known = this.#cachedOwners.get(pool);
    if (known !== undefined && clock.now() - known.readAt < OWNER_CACHE_TTL_MS) {
      return Ok(known.member);
    }
    const rows = await store.read([ownerKey(poolRole(pool))], signal);
    const owner = rows.map(([row]) => ownerBody.safeParse(row?.value).data);
    if (owner.isErr()) {
      return known === undefined ? owner : Ok(known.member);
    }
    if (owner.value === undefined || owner.value.released) {
      return fail('not-owner', `pool/${pool} has no owner now`);
    }
    this.#cachedOwners.set(pool, { member: owner.value.member, readAt: clock.now() });
    return Ok(owner.value.member);
  }
}
