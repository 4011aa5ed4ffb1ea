import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import type { RowVersion } from '../../store/index.js';
import { DemandWindow } from './demand-window.js';
import { unitsOf, type DeclaredLimit, type QuotaRow } from './rows.js';
import type { TeamDemand } from './types.js';

/** A lower number of units, offered to the limiter before the row is changed. */
interface Shrink {
  readonly units: number;
  /** The publication from which on no work starts above `units`; unset until it is made. */
  readonly serial?: number;
}

/** What this entry knows of one team: its row, its work, and changes under way. */
export class TeamAccount {
  readonly #window = new DemandWindow();
  #row: QuotaRow | undefined;
  #version: RowVersion = 0;
  #known = false;
  #demand = { running: 0, waiting: 0 };
  /** Units that are left whatever becomes of transactions with unknown outcome. */
  #doubt: number | undefined;
  #shrink: Shrink | undefined;
  /** Own transactions of this team go alone up to this round. */
  contendedUntil = 0;
  plannedAt: Millis = Number.NEGATIVE_INFINITY;

  /** True once the row, or its absence, has been read. */
  get known(): boolean {
    return this.#known;
  }

  get version(): RowVersion {
    return this.#version;
  }

  get demand(): { readonly running: number; readonly waiting: number } {
    return this.#demand;
  }

  /** Running and waiting work. */
  get need(): number {
    return this.#demand.running + this.#demand.waiting;
  }

  get inDoubt(): boolean {
    return this.#doubt !== undefined;
  }

  get shrink(): Shrink | undefined {
    return this.#shrink;
  }

  /** The row, or the row to be created for a declared limit. */
  row(declared: DeclaredLimit | undefined): QuotaRow {
    const limit = declared ?? { limit: 0, revision: 0 };
    return this.#row ?? { limit: limit.limit, revision: limit.revision, grants: [] };
  }

  held(member: MemberId, incarnation: Incarnation): number {
    return this.#row === undefined ? 0 : unitsOf(this.#row, member, incarnation);
  }

  /** Units that work may use now, if the session is valid. */
  usable(member: MemberId, incarnation: Incarnation): number {
    const held = this.held(member, incarnation);
    return Math.min(held, this.#doubt ?? held, this.#shrink?.units ?? held);
  }

  peak(now: Millis): number {
    return this.#window.peak(now);
  }

  onDemand(demand: Omit<TeamDemand, 'team'>, now: Millis): void {
    this.#demand = { running: demand.running, waiting: demand.waiting };
    this.#window.record(demand.running + demand.waiting, now);
  }

  /** Takes over what the store holds. An older version than the known one is ignored. */
  onRow(version: RowVersion, row: QuotaRow | undefined): void {
    if (this.#known && version < this.#version) {
      return;
    }
    if (!this.#known || version > this.#version) {
      // Transactions in doubt were conditional on the former version: their fate is decided.
      this.#doubt = undefined;
    }
    this.#known = true;
    this.#version = version;
    this.#row = row;
  }

  /** The outcome of a transaction that sets the own units is unknown. */
  onUnknown(units: number, held: number): void {
    this.#doubt = Math.min(this.#doubt ?? held, units, held);
  }

  /** Offers fewer units. A higher number than before needs no new publication. */
  shrinkTo(units: number): void {
    const before = this.#shrink;
    const published = before !== undefined && before.units <= units ? before.serial : undefined;
    if (before?.units !== units) {
      this.#shrink = { units, ...(published === undefined ? {} : { serial: published }) };
    }
  }

  cancelShrink(): void {
    this.#shrink = undefined;
  }

  onPublished(serial: number): void {
    if (this.#shrink !== undefined && this.#shrink.serial === undefined) {
      this.#shrink = { ...this.#shrink, serial };
    }
  }

  /** True when the limiter follows the offer, so that the row may be lowered to it. */
  shrinkApplied(appliedSerial: number): boolean {
    const serial = this.#shrink?.serial;
    return serial !== undefined && appliedSerial >= serial;
  }
}
