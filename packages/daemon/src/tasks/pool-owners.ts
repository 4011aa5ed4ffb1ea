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

/** Start of the role names of the owners of pools. */
export const ROLE_PREFIX = 'pool/';

/** The role of the owner of a pool. */
export function poolRole(pool: PoolName): string {
  return `${ROLE_PREFIX}${pool}`;
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

interface Owned {
  readonly owner: TaskOwner;
  readonly stop: AbortController;
}

/** Runs a task owner for each pool that this entry owns. */
export class PoolOwners extends Actor<PoolOwnersMessage> {
  readonly #options: PoolOwnersOptions;
  readonly #owned = new Map<PoolName, Owned>();
  #cfg: TaskEvent | undefined;
  #freshness: TaskEvent | undefined;

  constructor(context: ActorContext, options: PoolOwnersOptions) {
    super('pool-owners', context);
    this.#options = options;
  }

  /** Whether this entry owns the pool now. */
  owns(pool: PoolName): boolean {
    return this.#owned.has(pool);
  }

  /** Carries out a command of a caller. Errors: `not-owner`, and those of the owner. */
  command(command: TaskCommand): Promise<Result<unknown, AppError>> {
    const owned = this.#owned.get(command.pool);
    return owned === undefined
      ? Promise.resolve(fail('not-owner', command.pool))
      : owned.owner.command(command);
  }

  protected receive(message: PoolOwnersMessage): void {
    switch (message.type) {
      case 'owned':
        this.#gain(message);
        break;
      case 'lost':
        this.#lose(message.role);
        break;
      case 'config-changed':
        this.#cfg = message;
        this.#tellAll(message);
        break;
      case 'freshness':
        this.#freshness = message;
        this.#tellAll(message);
        break;
    }
  }

  #gain({ holding }: Extract<OwnershipEvent, { type: 'owned' }>): void {
    if (!holding.role.startsWith(ROLE_PREFIX)) {
      return;
    }
    const pool = holding.role.slice(ROLE_PREFIX.length);
    this.#lose(holding.role);
    const stop = new AbortController();
    const signal = AbortSignal.any([this.signal, stop.signal]);
    const { clock, store, newId } = this.#options;
    const { epoch } = holding;
    const owner = new TaskOwner(
      { log: this.log, signal },
      { pool, clock, store, newId, epoch, owner: fencingCondition(holding) },
    );
    for (const event of [this.#cfg, this.#freshness]) {
      if (event !== undefined) {
        owner.post(event);
      }
    }
    owner.start();
    this.#owned.set(pool, { owner, stop });
    this.log.info('pool owned', { pool, epoch });
  }

  #lose(role: string): void {
    const pool = role.slice(ROLE_PREFIX.length);
    const owned = role.startsWith(ROLE_PREFIX) ? this.#owned.get(pool) : undefined;
    if (owned !== undefined) {
      owned.stop.abort();
      this.#owned.delete(pool);
      this.log.info('pool no longer owned', { pool });
    }
  }

  #tellAll(event: TaskEvent): void {
    for (const { owner } of this.#owned.values()) {
      owner.post(event);
    }
  }
}
