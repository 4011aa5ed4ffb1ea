import {
  fail,
  Ok,
  type AppError,
  type Incarnation,
  type MemberId,
  type Result,
} from '@turmerichoist/core';
import type { Revision, TeamName } from '@turmerichoist/core';
import { z } from 'zod';
import type { JsonValue } from '../../store/index.js';

/** Units of a team's limit that one incarnation of a member may use. */
export interface Grant {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  readonly units: number;
}

/** Value of `quota/<team>`. The sum of the grants never exceeds `limit`. */
export interface QuotaRow {
  /** The limit in force. */
  readonly limit: number;
  /** A lower limit that comes into force when the sum of the grants fits into it. */
  readonly nextLimit?: number | undefined;
  /** Configuration revision that set the later one of the two limits. */
  readonly revision: Revision;
  readonly grants: readonly Grant[];
}

/** The limit that a configuration declares for a team. */
export interface DeclaredLimit {
  readonly limit: number;
  /** Configuration revision of the team's latest change. */
  readonly revision: Revision;
}

const PREFIX = 'quota/';
const count = z.int().min(0);
const schema = z.object({
  limit: count,
  nextLimit: count.optional(),
  revision: count,
  grants: z.array(z.object({ member: z.string(), incarnation: z.string(), units: count })),
});

export function quotaKey(team: TeamName): string {
  return `${PREFIX}${team}`;
}

export function teamOfKey(key: string): TeamName {
  return key.slice(PREFIX.length);
}

/** Decodes the value of a quota row. Errors: `store-rejected` when it does not match the schema. */
export function parseQuotaRow(value: JsonValue): Result<QuotaRow, AppError> {
  const parsed = schema.safeParse(value);
  return parsed.success ? Ok(parsed.data) : fail('store-rejected', 'malformed quota row');
}

export function encodeQuotaRow(row: QuotaRow): JsonValue {
  const grants = row.grants.map(({ member, incarnation, units }) => ({
    member,
    incarnation,
    units,
  }));
  const next = row.nextLimit === undefined ? {} : { nextLimit: row.nextLimit };
  return { limit: row.limit, ...next, revision: row.revision, grants };
}

/** Sum of all grants of a row. */
export function grantedUnits(row: QuotaRow): number {
  return row.grants.reduce((sum, { units }) => sum + units, 0);
}

/** The highest sum to which grants may be raised. */
export function maxGrantedUnits(row: QuotaRow): number {
  return Math.min(row.limit, row.nextLimit ?? row.limit);
}

export function unitsOf(row: QuotaRow, member: MemberId, incarnation: Incarnation): number {
  const own = row.grants.find((g) => g.member === member && g.incarnation === incarnation);
  return own?.units ?? 0;
}

/** The row with one holder's units replaced; a holder without units is removed. */
export function withUnits(row: QuotaRow, grant: Grant): QuotaRow {
  const others = row.grants.filter(
    ({ member, incarnation }) => member !== grant.member || incarnation !== grant.incarnation,
  );
  return { ...row, grants: grant.units > 0 ? [...others, grant] : others };
}

/**
 * Applies a declared limit to a row. A higher limit is in force at once; a lower one only when the
 * grants fit into it. An older revision changes nothing.
 */
export function withDeclared(row: QuotaRow, declared: DeclaredLimit | undefined): QuotaRow {
  if (declared === undefined || declared.revision <= row.revision) {
    return row;
  }
  const { limit, revision } = declared;
  const { grants } = row;
  return limit >= row.limit
    ? { limit, revision, grants }
    : { limit: row.limit, nextLimit: limit, revision, grants };
}

/** Puts a lower limit in force if the grants fit into it. */
export function withLimitInForce(row: QuotaRow): QuotaRow {
  const { nextLimit, ...rest } = row;
  return nextLimit !== undefined && grantedUnits(row) <= nextLimit
    ? { ...rest, limit: nextLimit }
    : row;
}
