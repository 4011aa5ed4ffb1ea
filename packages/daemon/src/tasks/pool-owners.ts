import {
  fencingCondition,
  type OwnershipEvent,
  type TableStore,
} from '@turmerichoist/coordination';
import {
  fail,
  type AppError,
  type Clock,
  type Configuration,
  type Millis,
  type PoolName,
  type Result,
  type TaskEvent,
} from '@turmerichoist/core';
import { Actor, type ActorContext } from '@turmerichoist/runtime';
import type { TaskCommand } from './messages.js';
import { TaskOwner } from './task-owner.js';

/** Prefix of the role names of pool owners. */
export const POOL_ROLE_PREFIX = 'pool/';

/** Role name of the owner of a pool. */
export function poolRole(pool: PoolName): string {
  return `${POOL_ROLE_PREFIX}${pool}`;
}

export interface PoolOwnersOptions {
  readonly clock: Clock;
  readonly store: TableStore;
  readonly newId: () => string;
}

export type PoolOwnersMessage =
  | OwnershipEvent
  | { readonly type: 'config-changed'; readonly cfg: Configuration }
  | { readonly type: 'freshness'; readonly configUntil: Millis; readonly ownerUntil: Millis };

interface OwnedPool {
  readonly owner: TaskOwner;
  readonly stop: AbortController;
}

/** Runs a task owner for each pool that this entry owns. */
export class PoolOwners extends Actor<PoolOwnersMessage> {
  readonly #options: PoolOwnersOptions;
  readonly #owned = new Map<PoolName, OwnedPool>();
  #lastConfigEvent: TaskEvent | undefined;
  #lastFreshnessEvent: TaskEvent | undefined;

  constructor(context: ActorContext, options: PoolOwnersOptions) {
    super('pool-owners', context);
    this.#options = options;
  }

  /** Whether this entry owns the pool now. */
  owns(pool: PoolName): boolean {
    return this.#owned.has(pool);
  }

  /** Executes a command. Errors: `not-owner`, and those of the task owner. */
  command(command: TaskCommand): Promise<Result<unknown, AppError>> {
    const owned = this.#owned.get(command.pool);
    return owned === undefined
      ? Promise.resolve(fail('not-owner', command.pool))
      : owned.owner.command(command);
  }

  protected receive(message: PoolOwnersMessage): void {
    switch (message.type) {
      case 'owned':
        this.#startOwner(message);
        break;
      case 'lost':
        this.#stopOwner(message.role);
        break;
      case 'config-changed':
        this.#lastConfigEvent = message;
        this.#postToAll(message);
        break;
      case 'freshness':
        this.#lastFreshnessEvent = message;
        this.#postToAll(message);
        break;
    }
  }

  #startOwner({ holding }: Extract<OwnershipEvent, { type: 'owned' }>): void {
    if (!holding.role.startsWith(POOL_ROLE_PREFIX)) {
      return;
    }
    const pool = holding.role.slice(POOL_ROLE_PREFIX.length);
    this.#stopOwner(holding.role);
    const stop = new AbortController();
    const signal = AbortSignal.any([this.signal, stop.signal]);
    const { clock, store, newId } = this.#options;
    const { epoch } = holding;
    const owner = new TaskOwner(
      { log: this.log, signal },
      { pool, clock, store, newId, epoch, owner: fencingCondition(holding) },
    );
    for (const event of [this.#lastConfigEvent, this.#lastFreshnessEvent]) {
      if (event !== undefined) {
        owner.post(event);
      }
    }
    owner.start();
    this.#owned.set(pool, { owner, stop });
    this.log.info('pool owned', { pool, epoch });
  }

  #stopOwner(role: string): void {
    const pool = role.slice(POOL_ROLE_PREFIX.length);
    const owned = role.startsWith(POOL_ROLE_PREFIX) ? this.#owned.get(pool) : undefined;
    if (owned !== undefined) {
      owned.stop.abort();
      this.#owned.delete(pool);
      this.log.info('pool no longer owned', { pool });
    }
  }

  #postToAll(event: TaskEvent): void {
    for (const { owner } of this.#owned.values()) {
      owner.post(event);
    }
  }
}
