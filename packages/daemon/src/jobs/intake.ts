import { createHash } from 'node:crypto';
import type { AppError, Clock, JobId, Millis, Random, Result } from '@turmerichoist/core';
import type { JsonValue, Row, TableStore } from '@turmerichoist/coordination';
import type { ActorContext } from '@turmerichoist/runtime';
import { Acceptor } from './acceptor.js';
import type { CallerTables } from './ports.js';

/**
 * Number of parts of the store that share the rows of callers. A part commits its transactions one
 * after another, so the rows that every member writes are kept out of the leader's part, and a store
 * whose transactions take half a second still takes some sixty of them a second. All members must use
 * the same number: the same job must meet the same row at each of them.
 */
export const INTAKE_PARTS = 32;

/** Number of parts of the previous version, whose rows are still read. */
const FORMER_INTAKE_PARTS = 8;

/** Names of the parts, within a cell. */
export const INTAKE_PART_NAMES: readonly string[] = Array.from(
  { length: INTAKE_PARTS },
  (_, part) => `intake-${part}`,
);

/** Tables of rows that members insert for callers. */
export type IntakeTable = 'jobs' | 'cancels';

/** Index of the part that holds the rows of a job. */
export function intakePartOf(id: JobId): number {
  return hashOf(id) % INTAKE_PARTS;
}

/** Index of the part in which the previous version stored the rows of a job. */
export function formerIntakePartOf(id: JobId): number {
  return hashOf(id) % FORMER_INTAKE_PARTS;
}

function hashOf(id: JobId): number {
  return createHash('sha256').update(id).digest().readUInt32BE(0);
}

interface IntakePart {
  readonly store: TableStore;
  readonly acceptor: Acceptor;
}

export interface JobIntakeOptions {
  readonly tables: Pick<CallerTables, 'openIntake'>;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: () => string;
}

/**
 * Inserts and reads rows of callers in the part of their job. Each part has an acceptor of its own,
 * so that a part that is slow or refuses writes doesn't hold up the submissions of other parts.
 */
export class JobIntake {
  readonly #parts: readonly IntakePart[];

  constructor({ tables, clock, random, newId }: JobIntakeOptions, context: ActorContext) {
    this.#parts = INTAKE_PART_NAMES.map((name) => {
      const store = tables.openIntake(name);
      return { store, acceptor: new Acceptor({ store, clock, random, newId }, context) };
    });
  }

  /** Inserts a row of a job if it is absent. Errors: as of `Acceptor.accept`. */
  accept(
    table: IntakeTable,
    id: JobId,
    value: JsonValue,
    deadline: Millis,
  ): Promise<Result<void, AppError>> {
    return this.#part(intakePartOf(id)).acceptor.accept(`${table}/${id}`, value, deadline);
  }

  /** Tells the acceptors whether the store answers this process. */
  setReachable(reachable: boolean): void {
    this.#parts.forEach(({ acceptor }) => {
      acceptor.post({ type: 'reachable', reachable });
    });
  }

  /** Reads a row of a job, also if the previous version has stored it. */
  async read(
    table: IntakeTable,
    id: JobId,
    signal: AbortSignal,
  ): Promise<Result<readonly Row[], AppError>> {
    const keys = [`${table}/${id}`];
    const [present, former] = [intakePartOf(id), formerIntakePartOf(id)];
    const read = await this.#part(present).store.read(keys, signal);
    const missing = read.isOk() && read.value.length === 0;
    return missing && former !== present ? this.#part(former).store.read(keys, signal) : read;
  }

  #part(index: number): IntakePart {
    const part = this.#parts[index];
    if (part === undefined) {
      throw new Error('no intake part is open');
    }
    return part;
  }
}
