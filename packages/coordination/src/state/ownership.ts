import { createHash } from 'node:crypto';
import { z } from 'zod';
import {
  Ok,
  fail,
  type AppError,
  type Incarnation,
  type MemberId,
  type Millis,
  type Result,
} from '@turmerichoist/core';
import type { Condition, JsonValue, Row, RowVersion, Write } from '../store/types.js';
import type { SessionObserver } from './session.js';

export const OWNER_PREFIX = 'owner/';

/** Identifies work that only one member may do at a time, for example the scheduling of a pool. */
export type Role = string;

const ownerSchema = z.object({
  member: z.string(),
  incarnation: z.string(),
  /** Fencing token; increases with each claim. */
  epoch: z.int().min(1),
  /** Whether the owner has released the role. */
  released: z.boolean().default(false),
});

export type OwnerValue = Readonly<z.output<typeof ownerSchema>>;

export function ownerKey(role: Role): string {
  return OWNER_PREFIX + role;
}

const WEIGHT_BYTES = 6;

function weight(role: Role, memberId: MemberId): number {
  const digest = createHash('sha256').update(`${role}\n${memberId}`).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}

/** The member that rendezvous hashing selects for a role; undefined without members. */
export function preferredOwner(role: Role, members: readonly MemberId[]): MemberId | undefined {
  const ranked = members.map((memberId) => ({ memberId, weight: weight(role, memberId) }));
  return ranked.toSorted((a, b) => b.weight - a.weight)[0]?.memberId;
}

/** A role that this member holds. */
export interface Holding {
  readonly role: Role;
  readonly epoch: number;
  /** Version of the `owner/<role>` row. */
  readonly version: RowVersion;
}

/** The fencing condition that every transaction of an owner must include. */
export function fencingCondition({ role, version }: Holding): Condition {
  return { key: ownerKey(role), version };
}

/** A conditional write of an owner row that claims or releases a role. */
export interface OwnerUpdate {
  readonly role: Role;
  readonly epoch: number;
  readonly condition: Condition;
  readonly write: Write;
}

export type OwnershipDecision =
  | { readonly type: 'owned'; readonly holding: Holding }
  | { readonly type: 'lost'; readonly role: Role }
  | { readonly type: 'claim'; readonly update: OwnerUpdate };

interface OwnerRow {
  readonly version: RowVersion;
  readonly value: OwnerValue;
}

/** Decides which roles this member claims, holds and has lost. */
export class OwnershipState {
  readonly #memberId: MemberId;
  #roles: readonly Role[] = [];
  #incarnation: Incarnation | undefined;
  /** Sessions that this process itself has ended, so that their roles are free at once. */
  #endedIncarnations: ReadonlySet<Incarnation> = new Set();
  #held: ReadonlyMap<Role, Holding> = new Map();
  #preferredOwners: ReadonlyMap<Role, MemberId | undefined> = new Map();
  #preferredOwnersKey = '';

  constructor(memberId: MemberId) {
    this.#memberId = memberId;
  }

  get held(): readonly Holding[] {
    return [...this.#held.values()];
  }

  /** Sets the roles that exist. Held roles that no longer exist are lost. */
  setRoles(roles: readonly Role[]): readonly OwnershipDecision[] {
    this.#roles = roles;
    this.#preferredOwnersKey = '';
    const gone = this.held.filter(({ role }) => !roles.includes(role));
    return gone.flatMap(({ role }) => this.#recordLost(role));
  }

  /** Records that the session of `incarnation` is valid. A new session starts without roles. */
  onSessionValid(incarnation: Incarnation): void {
    this.#incarnation = incarnation;
  }

  onSessionEnded(incarnation: Incarnation): readonly OwnershipDecision[] {
    this.#endedIncarnations = new Set([...this.#endedIncarnations, incarnation]);
    this.#incarnation = undefined;
    return this.held.flatMap(({ role }) => this.#recordLost(role));
  }

  /** Compares the `owner/` rows of one read with the held roles and decides what to claim. */
  plan(rows: readonly Row[], observer: SessionObserver): readonly OwnershipDecision[] {
    const owners = new Map(rows.map((row) => [row.key, decodeOwner(row)]));
    this.#updatePreferredOwners(observer.live().map(({ memberId }) => memberId));
    return this.#roles.flatMap((role) =>
      this.#planRole(role, owners.get(ownerKey(role)), observer),
    );
  }

  /** Records that a claim has committed and gave the row `version`. */
  onClaimed(update: OwnerUpdate, version: RowVersion | undefined): readonly OwnershipDecision[] {
    const { incarnation } = update.write.value as { incarnation: Incarnation };
    if (version === undefined || incarnation !== this.#incarnation) {
      return [];
    }
    return this.#recordOwned({ role: update.role, epoch: update.epoch, version });
  }

  /** Returns the updates that release all roles. The roles count as lost at once. */
  releaseAll(): readonly OwnerUpdate[] {
    const updates = this.held.map((holding) => this.#buildUpdate(holding, holding.version, true));
    this.#held = new Map();
    return updates;
  }

  #planRole(
    role: Role,
    owner: OwnerRow | undefined,
    observer: SessionObserver,
  ): readonly OwnershipDecision[] {
    const held = this.#held.get(role);
    if (held !== undefined && owner !== undefined && owner.version <= held.version) {
      // An equal version confirms the role; a lower one comes from a read sent before the claim.
      return [];
    }
    const lost = this.#recordLost(role);
    if (this.#incarnation === undefined) {
      return lost;
    }
    if (owner !== undefined && this.#isOwn(owner.value)) {
      // An own claim whose response was lost.
      return this.#recordOwned({ role, epoch: owner.value.epoch, version: owner.version });
    }
    if (this.#preferredOwners.get(role) !== this.#memberId || !this.#isFree(owner, observer)) {
      return lost;
    }
    const epoch = (owner?.value.epoch ?? 0) + 1;
    const update = this.#buildUpdate({ role, epoch }, owner?.version ?? 0, false);
    return [...lost, { type: 'claim', update }];
  }

  #isOwn(owner: OwnerValue): boolean {
    return (
      owner.member === this.#memberId && owner.incarnation === this.#incarnation && !owner.released
    );
  }

  #isFree(owner: OwnerRow | undefined, observer: SessionObserver): boolean {
    if (
      owner === undefined ||
      owner.value.released ||
      this.#endedIncarnations.has(owner.value.incarnation)
    ) {
      return true;
    }
    return observer.hasExpired(owner.value.member, owner.value.incarnation);
  }

  #buildUpdate(
    { role, epoch }: Pick<Holding, 'role' | 'epoch'>,
    version: RowVersion,
    released: boolean,
  ): OwnerUpdate {
    const key = ownerKey(role);
    const value: OwnerValue = {
      member: this.#memberId,
      incarnation: this.#incarnation ?? '',
      epoch,
      released,
    };
    const write = { key, value: value as unknown as JsonValue };
    return { role, epoch, condition: { key, version }, write };
  }

  #recordOwned(holding: Holding): readonly OwnershipDecision[] {
    this.#held = new Map([...this.#held, [holding.role, holding]]);
    return [{ type: 'owned', holding }];
  }

  #recordLost(role: Role): readonly OwnershipDecision[] {
    if (!this.#held.has(role)) {
      return [];
    }
    this.#held = new Map([...this.#held].filter(([held]) => held !== role));
    return [{ type: 'lost', role }];
  }

  /** Recomputes the hashes only when the members or the roles have changed. */
  #updatePreferredOwners(members: readonly MemberId[]): void {
    const key = members.join('\n');
    if (key === this.#preferredOwnersKey) {
      return;
    }
    this.#preferredOwnersKey = key;
    this.#preferredOwners = new Map(
      this.#roles.map((role) => [role, preferredOwner(role, members)]),
    );
  }
}

function decodeOwner(row: Row): OwnerRow | undefined {
  const parsed = ownerSchema.safeParse(row.value);
  return parsed.success ? { version: row.version, value: parsed.data } : undefined;
}

export type RoleEvent =
  | { readonly type: 'owned'; readonly holding: Holding }
  | { readonly type: 'lost'; readonly role: Role }
  | { readonly type: 'session'; readonly validUntil: Millis }
  | { readonly type: 'session-ended' };

/** Checked by an owner immediately before each operation. Fed with session and ownership events. */
export class RoleGuard {
  #held: ReadonlyMap<Role, Holding> = new Map();
  #validUntil: Millis = -Infinity;

  handle(event: RoleEvent): void {
    switch (event.type) {
      case 'owned':
        this.#held = new Map([...this.#held, [event.holding.role, event.holding]]);
        return;
      case 'lost':
        this.#held = new Map([...this.#held].filter(([role]) => role !== event.role));
        return;
      case 'session':
        this.#validUntil = event.validUntil;
        return;
      case 'session-ended':
        this.#validUntil = -Infinity;
        this.#held = new Map();
    }
  }

  /**
   * Returns the held role if this member may act on it now. Errors: `not-owner`, `session-lapsed`.
   * Writes to the store must also include `fencingCondition` of the held role, and calls elsewhere
   * its epoch.
   */
  check(role: Role, now: Millis): Result<Holding, AppError> {
    const holding = this.#held.get(role);
    if (holding === undefined) {
      return fail('not-owner', role);
    }
    return now < this.#validUntil ? Ok(holding) : fail('session-lapsed', role);
  }
}
