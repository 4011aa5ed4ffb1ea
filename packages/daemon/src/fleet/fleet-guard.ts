import { RoleGuard, type Holding, type OwnershipEvent } from '@turmerichoist/coordination';
import {
  fail,
  NEVER,
  Ok,
  type AppError,
  type Clock,
  type Millis,
  type OwnerFence,
  type PoolName,
  type Result,
} from '@turmerichoist/core';
import { poolRole } from '../tasks/index.js';

/** Checks, immediately before each act, that the role is held and the configuration is fresh. */
export class FleetGuard {
  readonly #clock: Clock;
  readonly #roles = new RoleGuard();
  #configUntil: Millis = NEVER;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  onOwnership(event: Extract<OwnershipEvent, { type: 'owned' | 'lost' }>): void {
    this.#roles.handle(event);
  }

  onFreshness(configUntil: Millis, ownerUntil: Millis): void {
    this.#configUntil = configUntil;
    this.#roles.handle({ type: 'session', validUntil: ownerUntil });
  }

  /** The holding that a fence is valid under now. Errors: `not-owner`, `session-lapsed`. */
  holding({ role, epoch }: OwnerFence): Result<Holding, AppError> {
    const now = this.#clock.now();
    if (now >= this.#configUntil) {
      return fail('session-lapsed', 'the configuration is not fresh');
    }
    return this.#roles
      .check(poolRole(role), now)
      .andThen((holding) => (holding.epoch === epoch ? Ok(holding) : fail('not-owner', role)));
  }

  /** Whether the role is held but can't be used now. */
  isPaused(fence: OwnerFence): boolean {
    const holding = this.holding(fence);
    return holding.isErr() && holding.error.kind === 'session-lapsed';
  }

  /** Whether the role is held at this epoch, even if it can't be used now. */
  isHeld({ role, epoch }: Holding): boolean {
    const held = this.#roles.check(role, NEVER);
    return held.isOk() && held.value.epoch === epoch;
  }

  /** Whether decisions on at least one of the pools could be carried out now. */
  canActOnAny(pools: Iterable<PoolName>): boolean {
    const now = this.#clock.now();
    const valid = [...pools].some((pool) => this.#roles.check(poolRole(pool), now).isOk());
    return valid && now < this.#configUntil;
  }
}
