import type { Decider, Incarnation, MemberId, Millis, Random, TeamName } from '@turmerichoist/core';
import type { JsonValue, RowVersion, Transaction } from '../../store/index.js';
import { ISOLATED_ROUNDS, GRANT_ROUND_MS, MAX_BACKOFF_MS, MAX_TEAMS_PER_TXN } from './constants.js';
import { GrantHolders } from './holders.js';
import { shouldReadRow, planTeam, targetUnits, type PlanContext, type TeamPlan } from './plan.js';
import { FairSharePolicy, type GrantPolicy } from './policy.js';
import { ReportedLimits, UsableUnitsPublisher } from './publication.js';
import {
  encodeQuotaRow,
  grantedUnits,
  parseQuotaRow,
  quotaKey,
  raiseCeiling,
  teamOfKey,
  type DeclaredLimit,
} from './rows.js';
import { TeamAccount } from './team-account.js';
import type { QuotaDecision, QuotaEvent, Settlement, UnmetDemand } from './types.js';
import { UnmetDemandPublisher, PeerUnmetDemand } from './unmet-demand.js';

interface PlannedTxn {
  readonly plans: ReadonlyMap<TeamName, TeamPlan>;
}

interface OpenTxn extends PlannedTxn {
  readonly txnId: string;
  /** Units held before the transaction, by team. */
  readonly held: ReadonlyMap<TeamName, number>;
}

export interface GrantLedgerOptions {
  readonly self: MemberId;
  readonly random: Random;
  readonly policy?: GrantPolicy;
}

const NEVER = Number.NEGATIVE_INFINITY;

/**
 * Adjusts the quota grants of this member to its demand. A unit is usable only after the
 * transaction that granted it is known to have committed, and it is removed from the row only after
 * no more work can start under it.
 */
export class GrantLedger implements Decider<QuotaEvent, QuotaDecision> {
  readonly #options: GrantLedgerOptions;
  readonly #policy: GrantPolicy;
  readonly #accounts = new Map<TeamName, TeamAccount>();
  readonly #holders = new GrantHolders();
  readonly #peerUnmetDemand = new PeerUnmetDemand();
  readonly #unmetDemandPublisher = new UnmetDemandPublisher();
  readonly #reportedLimits = new ReportedLimits();
  readonly #unitsPublisher = new UsableUnitsPublisher();
  #limits: ReadonlyMap<TeamName, DeclaredLimit> = new Map();
  #incarnation: Incarnation = '';
  #formerIncarnations: readonly Incarnation[] = [];
  /** Former incarnations are adopted only after the limiter has applied this publication. */
  #adoptSerial = 0;
  #sessionUntil: Millis = NEVER;
  #outageUntil: Millis = NEVER;
  #appliedSerial = 0;
  #reading = false;
  #openTxn: OpenTxn | undefined;
  #queuedTxns: readonly PlannedTxn[] = [];
  #round = 0;
  #nextRoundAt: Millis = NEVER;
  #failures = 0;
  #txnCount = 0;
  #stopping = false;
  #released = false;

  constructor(options: GrantLedgerOptions) {
    this.#options = options;
    this.#policy = options.policy ?? new FairSharePolicy();
  }

  handle(event: QuotaEvent, now: Millis): readonly QuotaDecision[] {
    const eventDecisions = this.#apply(event, now);
    const round = this.#startRound(now);
    this.#reduceOffers(now);
    return [
      ...this.#publishUsable(),
      ...eventDecisions,
      ...round,
      ...this.#publishUnmetDemand(now),
      ...this.#reportLimitsInForce(),
      ...this.#reportReleased(),
    ];
  }

  #apply(event: QuotaEvent, now: Millis): readonly QuotaDecision[] {
    switch (event.type) {
      case 'session':
        this.#onSession(event.incarnation, event.validUntil);
        return [];
      case 'outage':
        this.#outageUntil = event.until ?? NEVER;
        return [];
      case 'limits':
        this.#onLimits(event.limits);
        return [];
      case 'demand':
        this.#onDemand(event, now);
        return [];
      case 'members':
        this.#holders.onMembers(event.rows, event.readAt, now);
        return [];
      case 'expired':
        this.#holders.onExpired(event.member, event.incarnation, event.at);
        return [];
      case 'peer-want':
        this.#peerUnmetDemand.set(event.member, event.wants, now);
        return [];
      case 'rows':
        return this.#onRows(event.keys, event.rows, now);
      case 'read-failed':
        this.#reading = false;
        this.#backOff(now);
        return [];
      case 'settled':
        return event.txnId === this.#openTxn?.txnId
          ? this.#onSettled(this.#openTxn, event.result, now)
          : [];
      case 'stopping':
        this.#stopping = true;
        return [];
      case 'tick':
        return [];
    }
  }

  #account(team: TeamName): TeamAccount {
    const account = this.#accounts.get(team) ?? new TeamAccount();
    this.#accounts.set(team, account);
    return account;
  }

  #onSession(incarnation: Incarnation, validUntil: Millis): void {
    this.#sessionUntil = validUntil;
    if (incarnation === this.#incarnation) {
      return;
    }
    if (this.#incarnation !== '') {
      this.#formerIncarnations = [...this.#formerIncarnations, this.#incarnation];
    }
    this.#incarnation = incarnation;
    // Adopt only after the limiter has applied the publication that revokes the former units.
    this.#adoptSerial = this.#unitsPublisher.serial + 1;
    this.#unitsPublisher.invalidate();
    for (const account of this.#accounts.values()) {
      account.cancelShrink();
    }
  }

  #onLimits(limits: ReadonlyMap<TeamName, DeclaredLimit>): void {
    this.#limits = limits;
    for (const team of limits.keys()) {
      this.#account(team);
    }
  }

  #onDemand(event: Extract<QuotaEvent, { type: 'demand' }>, now: Millis): void {
    this.#appliedSerial = Math.max(this.#appliedSerial, event.appliedSerial);
    const teams = new Map(event.teams.map((demand) => [demand.team, demand]));
    for (const team of new Set([...this.#accounts.keys(), ...teams.keys()])) {
      this.#account(team).onDemand(teams.get(team) ?? { running: 0, waiting: 0 }, now);
    }
  }

  #context(team: TeamName, now: Millis): PlanContext {
    return {
      self: this.#options.self,
      incarnation: this.#incarnation,
      adoptable: new Set(this.#appliedSerial >= this.#adoptSerial ? this.#formerIncarnations : []),
      appliedSerial: this.#appliedSerial,
      declared: this.#limits.get(team),
      wants: this.#peerUnmetDemand.of(team, now),
      stopping: this.#stopping,
      holders: this.#holders,
      policy: this.#policy,
      now,
    };
  }

  #startRound(now: Millis): readonly QuotaDecision[] {
    const busy = this.#reading || this.#openTxn !== undefined;
    if (busy || now < this.#nextRoundAt || now >= this.#sessionUntil) {
      return [];
    }
    const teams = [...this.#accounts]
      .filter(([team, account]) => shouldReadRow(account, this.#context(team, now)))
      .sort(([, a], [, b]) => a.lastPlannedAt - b.lastPlannedAt)
      .slice(0, MAX_TEAMS_PER_TXN);
    if (teams.length === 0) {
      return [];
    }
    this.#reading = true;
    this.#nextRoundAt = now + GRANT_ROUND_MS;
    return [{ type: 'read', keys: teams.map(([team]) => quotaKey(team)) }];
  }

  #onRows(
    keys: readonly string[],
    rows: readonly { key: string; version: RowVersion; value: JsonValue }[],
    now: Millis,
  ): readonly QuotaDecision[] {
    const found = new Map(rows.map((row) => [row.key, row]));
    const readable: TeamName[] = [];
    for (const key of keys) {
      const row = found.get(key);
      const value = row === undefined ? undefined : parseQuotaRow(row.value);
      if (value?.isErr() !== true) {
        const team = teamOfKey(key);
        this.#account(team).onRow(row?.version ?? 0, value?.unwrap());
        this.#holders.onGrants(value?.unwrap().grants ?? [], now);
        readable.push(team);
      }
    }
    if (!this.#reading) {
      return [];
    }
    this.#reading = false;
    this.#failures = 0;
    this.#plan(readable, now);
    return this.#commitNext(now);
  }

  /** Teams with recent conflicts get separate transactions, after the batch of all others. */
  #plan(teams: readonly TeamName[], now: Millis): void {
    this.#round += 1;
    const batch = new Map<TeamName, TeamPlan>();
    const isolated: PlannedTxn[] = [];
    for (const team of teams) {
      const account = this.#account(team);
      account.lastPlannedAt = now;
      const plan = planTeam(account, this.#context(team, now));
      if (plan !== undefined && account.isolatedUntilRound >= this.#round) {
        isolated.push({ plans: new Map([[team, plan]]) });
      } else if (plan !== undefined) {
        batch.set(team, plan);
      }
    }
    this.#queuedTxns = [...(batch.size > 0 ? [{ plans: batch }] : []), ...isolated];
  }

  #commitNext(now: Millis): readonly QuotaDecision[] {
    const [next, ...rest] = this.#queuedTxns;
    this.#queuedTxns = now < this.#sessionUntil ? rest : [];
    if (next === undefined || now >= this.#sessionUntil) {
      return [];
    }
    const { self } = this.#options;
    this.#txnCount += 1;
    const txnId = `${self}/${this.#incarnation}/quota/${this.#txnCount}`;
    const teams = [...next.plans.keys()];
    const held = teams.map((team) => [team, this.#held(team)] as const);
    this.#openTxn = { ...next, txnId, held: new Map(held) };
    return [{ type: 'commit', txn: this.#transaction(txnId, next) }];
  }

  #transaction(txnId: string, { plans }: PlannedTxn): Transaction {
    const all = [...plans];
    return {
      txnId,
      conditions: all.map(([team]) => ({
        key: quotaKey(team),
        version: this.#account(team).version,
      })),
      writes: all.map(([team, plan]) => ({ key: quotaKey(team), value: encodeQuotaRow(plan.row) })),
    };
  }

  #held(team: TeamName): number {
    return this.#account(team).held(this.#options.self, this.#incarnation);
  }

  #onSettled(open: OpenTxn, result: Settlement, now: Millis): readonly QuotaDecision[] {
    this.#openTxn = undefined;
    switch (result.committed) {
      case true:
        this.#onCommitted(open, result.versions);
        break;
      case false:
        this.#onConflict(open, result.failed);
        break;
      case 'unknown':
        for (const [team, { units }] of open.plans) {
          this.#account(team).onUnknownOutcome(units, open.held.get(team) ?? 0);
        }
        this.#backOff(now);
        break;
      case 'no':
        this.#backOff(now);
        break;
    }
    return this.#commitNext(now);
  }

  #onCommitted(open: OpenTxn, versions: Readonly<Record<string, RowVersion>>): void {
    for (const [team, { row, units }] of open.plans) {
      const version = versions[quotaKey(team)];
      if (version === undefined) {
        this.#account(team).onUnknownOutcome(units, open.held.get(team) ?? 0);
      } else {
        this.#account(team).onRow(version, row);
      }
    }
  }

  /** A conflict on some teams must not delay the others, which are committed again at once. */
  #onConflict(open: OpenTxn, failed: readonly string[]): void {
    const conflicts = new Set(failed.map(teamOfKey));
    for (const team of conflicts) {
      this.#account(team).isolatedUntilRound = this.#round + ISOLATED_ROUNDS;
    }
    const rest = [...open.plans].filter(([team]) => !conflicts.has(team));
    if (rest.length > 0 && rest.length < open.plans.size) {
      this.#queuedTxns = [{ plans: new Map(rest) }, ...this.#queuedTxns];
    }
  }

  #backOff(now: Millis): void {
    this.#queuedTxns = [];
    this.#failures += 1;
    const longest = Math.min(MAX_BACKOFF_MS, GRANT_ROUND_MS * 2 ** this.#failures);
    this.#nextRoundAt = now + longest * (0.5 + this.#options.random.next() / 2);
  }

  /** Offers fewer units to the limiter as soon as the target is lower; the row is lowered later. */
  #reduceOffers(now: Millis): void {
    for (const [team, account] of this.#accounts) {
      const held = this.#held(team);
      if (held > 0) {
        const target = targetUnits(account, this.#context(team, now));
        if (target < held) {
          account.shrinkTo(target);
        } else {
          account.cancelShrink();
        }
      }
    }
  }

  #publishUsable(): readonly QuotaDecision[] {
    const { self } = this.#options;
    const usable = [...this.#accounts]
      .map(([team, account]) => [team, account.usable(self, this.#incarnation)] as const)
      .filter(([, units]) => units > 0);
    const units = new Map(usable);
    const validUntil = Math.max(this.#sessionUntil, this.#outageUntil);
    const changed = this.#unitsPublisher.update(units, validUntil);
    const { serial } = this.#unitsPublisher;
    for (const account of this.#accounts.values()) {
      account.onPublished(serial);
    }
    return changed ? [{ type: 'usable', serial, units, validUntil }] : [];
  }

  #publishUnmetDemand(now: Millis): readonly QuotaDecision[] {
    const missing: UnmetDemand[] = [];
    for (const [team, account] of this.#accounts) {
      const row = account.row(this.#limits.get(team));
      if (account.known && account.need > 0 && grantedUnits(row) >= raiseCeiling(row)) {
        // Not capped at the fair share: other members keep idle units until they see unmet demand.
        const units = Math.min(account.need, raiseCeiling(row)) - this.#held(team);
        missing.push(...(units > 0 ? [{ team, units }] : []));
      }
    }
    const wants = this.#unmetDemandPublisher.update(missing, now);
    return wants === undefined ? [] : [{ type: 'want', wants }];
  }

  #reportLimitsInForce(): readonly QuotaDecision[] {
    const decisions: QuotaDecision[] = [];
    for (const [team, account] of this.#accounts) {
      const row = account.row(this.#limits.get(team));
      if (account.version > 0 && this.#reportedLimits.recordIfNew(team, row)) {
        const { limit, revision } = row;
        decisions.push({ type: 'limit-in-force', team, limit, revision });
      }
    }
    return decisions;
  }

  #reportReleased(): readonly QuotaDecision[] {
    if (!this.#stopping || this.#released || this.#openTxn !== undefined) {
      return [];
    }
    const left = [...this.#accounts].some(
      ([team, account]) => this.#held(team) > 0 || account.inDoubt || account.need > 0,
    );
    this.#released = !left;
    return left ? [] : [{ type: 'released' }];
  }
}
