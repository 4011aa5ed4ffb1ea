import { NEVER, type Incarnation, type MemberId, type Millis } from '@turmerichoist/core';
import type { RowVersion } from '../../store/index.js';
import { DemandWindow } from './demand-window.js';
import { unitsOf, type DeclaredLimit, type QuotaRow } from './rows.js';
import type { TeamDemand } from './types.js';

/** A reduction of the units offered to the limiter, which precedes the change of the row. */
interface PendingShrink {
  readonly units: number;
  /** First publication that limits new work to `units`; absent until it is made. */
  readonly serial?: number;
}

/** State of one team at this member: its row, its work, and pending changes. */
export class TeamAccount {
  readonly #demandWindow = new DemandWindow();
  #row: QuotaRow | undefined;
  #version: RowVersion = 0;
  #known = false;
  #demand = { running: 0, waiting: 0 };
  /** Units held whatever the outcome of the in-doubt transactions; undefined without such ones. */
  #guaranteedUnits: number | undefined;
  #shrink: PendingShrink | undefined;
  /** The team gets separate transactions up to and including this round. */
  isolatedUntilRound = 0;
  lastPlannedAt: Millis = NEVER;

  /** Whether the row, or its absence, has been read. */
  get known(): boolean {
    return this.#known;
  }

  get version(): RowVersion {
    return this.#version;
  }

  get demand(): { readonly running: number; readonly waiting: number } {
    return this.#demand;
  }

  /** Sum of running and waiting work. */
  get need(): number {
    return this.#demand.running + this.#demand.waiting;
  }

  get inDoubt(): boolean {
    return this.#guaranteedUnits !== undefined;
  }

  get shrink(): PendingShrink | undefined {
    return this.#shrink;
  }

  /** The row, or a row without grants for the declared limit if none exists. */
  row(declared: DeclaredLimit | undefined): QuotaRow {
    const limit = declared ?? { limit: 0, revision: 0 };
    return this.#row ?? { limit: limit.limit, revision: limit.revision, grants: [] };
  }

  held(member: MemberId, incarnation: Incarnation): number {
    return this.#row === undefined ? 0 : unitsOf(this.#row, member, incarnation);
  }

  /** Units that work may use now if the session is valid. */
  usable(member: MemberId, incarnation: Incarnation): number {
    const held = this.held(member, incarnation);
    return Math.min(held, this.#guaranteedUnits ?? held, this.#shrink?.units ?? held);
  }

  peak(now: Millis): number {
    return this.#demandWindow.peak(now);
  }

  onDemand(demand: Omit<TeamDemand, 'team'>, now: Millis): void {
    this.#demand = { running: demand.running, waiting: demand.waiting };
    this.#demandWindow.record(demand.running + demand.waiting, now);
  }

  /** Records the stored row. A version older than the known one is ignored. */
  onRow(version: RowVersion, row: QuotaRow | undefined): void {
    if (this.#known && version < this.#version) {
      return;
    }
    if (!this.#known || version > this.#version) {
      // In-doubt transactions were conditional on the former version, so they can no longer commit.
      this.#guaranteedUnits = undefined;
    }
    this.#known = true;
    this.#version = version;
    this.#row = row;
  }

  /** Records an in-doubt transaction that sets this member's units from `held` to `units`. */
  onUnknownOutcome(units: number, held: number): void {
    this.#guaranteedUnits = Math.min(this.#guaranteedUnits ?? held, units, held);
  }

  /** Reduces the offered units. Raising an already reduced number needs no new publication. */
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

  /** Whether the limiter has applied the reduction, so that the row may be lowered to it. */
  shrinkApplied(appliedSerial: number): boolean {
    const serial = this.#shrink?.serial;
    return serial !== undefined && appliedSerial >= serial;
  }
}
