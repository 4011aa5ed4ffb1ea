import type { Decider, Incarnation, MemberId, Millis, Random, TeamName } from '@turmerichoist/core';
import type { Row, RowVersion } from '../../store/index.js';
import { ISOLATED_ROUNDS, MAX_TEAMS_PER_TXN } from './constants.js';
import { GrantSession } from './grant-session.js';
import { GrantHolders } from './holders.js';
import { shouldReadRow, planTeam, targetUnits, type PlanContext, type TeamPlan } from './plan.js';
import { FairSharePolicy, type GrantPolicy } from './policy.js';
import {
  ReportedLimits,
  reportLimitsInForce,
  unmetDemand,
  UsableUnitsPublisher,
} from './publication.js';
import { RoundSchedule } from './round-schedule.js';
import { parseQuotaRow, quotaKey, teamOfKey } from './rows.js';
import { TeamAccounts } from './team-accounts.js';
import { quotaTransaction, TxnQueue, type OpenTxn, type PlannedTxn } from './txn-queue.js';
import type { QuotaDecision, QuotaEvent, Settlement } from './types.js';
import { UnmetDemandPublisher, PeerUnmetDemand } from './unmet-demand.js';

export interface GrantLedgerOptions {
  readonly self: MemberId;
  readonly random: Random;
  readonly policy?: GrantPolicy;
}

/**
 * Adjusts the quota grants of this member to its demand. A unit is usable only after the
 * transaction that granted it is known to have committed, and it is removed from the row only after
 * no more work can start under it.
 */
export class GrantLedger implements Decider<QuotaEvent, QuotaDecision> {
  readonly #options: GrantLedgerOptions;
  readonly #policy: GrantPolicy;
  readonly #session = new GrantSession();
  readonly #accounts = new TeamAccounts();
  readonly #holders = new GrantHolders();
  readonly #schedule: RoundSchedule;
  readonly #txns = new TxnQueue();
  readonly #peerUnmetDemand = new PeerUnmetDemand();
  readonly #unmetDemandPublisher = new UnmetDemandPublisher();
  readonly #reportedLimits = new ReportedLimits();
  readonly #unitsPublisher = new UsableUnitsPublisher();
  #appliedSerial = 0;
  #reading = false;
  #round = 0;
  #stopping = false;
  #released = false;

  constructor(options: GrantLedgerOptions) {
    this.#options = options;
    this.#policy = options.policy ?? new FairSharePolicy();
    this.#schedule = new RoundSchedule(options.random);
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
      ...reportLimitsInForce(this.#accounts, this.#reportedLimits),
      ...this.#reportReleased(),
    ];
  }

  #apply(event: QuotaEvent, now: Millis): readonly QuotaDecision[] {
    switch (event.type) {
      case 'session':
        this.#onSession(event.incarnation, event.validUntil);
        return [];
      case 'outage':
        this.#session.setOutageUntil(event.until);
        return [];
      case 'limits':
        this.#accounts.onLimits(event.limits);
        return [];
      case 'demand':
        this.#appliedSerial = Math.max(this.#appliedSerial, event.appliedSerial);
        this.#accounts.onDemand(event.teams, now);
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
        return this.#onSettled(event.txnId, event.result, now);
      case 'stopping':
        this.#stopping = true;
        return [];
      case 'tick':
        return [];
    }
  }

  #onSession(incarnation: Incarnation, validUntil: Millis): void {
    const nextSerial = this.#unitsPublisher.serial + 1;
    if (this.#session.renew(incarnation, validUntil, nextSerial)) {
      this.#unitsPublisher.invalidate();
      this.#accounts.cancelShrinks();
    }
  }

  #context(team: TeamName, now: Millis): PlanContext {
    return {
      self: this.#options.self,
      incarnation: this.#session.incarnation,
      adoptable: this.#session.adoptable(this.#appliedSerial),
      appliedSerial: this.#appliedSerial,
      declared: this.#accounts.declared(team),
      wants: this.#peerUnmetDemand.of(team, now),
      stopping: this.#stopping,
      holders: this.#holders,
      policy: this.#policy,
      now,
    };
  }

  #startRound(now: Millis): readonly QuotaDecision[] {
    const busy = this.#reading || this.#txns.hasOpen;
    if (busy || !this.#schedule.isDue(now) || !this.#session.isValid(now)) {
      return [];
    }
    const teams = this.#accounts
      .all()
      .filter(([team, account]) => shouldReadRow(account, this.#context(team, now)))
      .sort(([, a], [, b]) => a.lastPlannedAt - b.lastPlannedAt)
      .slice(0, MAX_TEAMS_PER_TXN);
    if (teams.length === 0) {
      return [];
    }
    this.#reading = true;
    this.#schedule.onStarted(now);
    return [{ type: 'read', keys: teams.map(([team]) => quotaKey(team)) }];
  }

  #onRows(keys: readonly string[], rows: readonly Row[], now: Millis): readonly QuotaDecision[] {
    const found = new Map(rows.map((row) => [row.key, row]));
    const readable: TeamName[] = [];
    for (const key of keys) {
      const row = found.get(key);
      const value = row === undefined ? undefined : parseQuotaRow(row.value);
      if (value?.isErr() !== true) {
        const team = teamOfKey(key);
        this.#accounts.get(team).onRow(row?.version ?? 0, value?.unwrap());
        this.#holders.onGrants(value?.unwrap().grants ?? [], now);
        readable.push(team);
      }
    }
    if (!this.#reading) {
      return [];
    }
    this.#reading = false;
    this.#schedule.onRead();
    this.#plan(readable, now);
    return this.#commitNext(now);
  }

  /** Teams with recent conflicts get separate transactions, after the batch of all others. */
  #plan(teams: readonly TeamName[], now: Millis): void {
    this.#round += 1;
    const batch = new Map<TeamName, TeamPlan>();
    const isolated: PlannedTxn[] = [];
    for (const team of teams) {
      const account = this.#accounts.get(team);
      account.lastPlannedAt = now;
      const plan = planTeam(account, this.#context(team, now));
      if (plan !== undefined && account.isolatedUntilRound >= this.#round) {
        isolated.push({ plans: new Map([[team, plan]]) });
      } else if (plan !== undefined) {
        batch.set(team, plan);
      }
    }
    this.#txns.replace([...(batch.size > 0 ? [{ plans: batch }] : []), ...isolated]);
  }

  #commitNext(now: Millis): readonly QuotaDecision[] {
    if (!this.#session.isValid(now)) {
      this.#txns.replace([]);
      return [];
    }
    const idPrefix = `${this.#options.self}/${this.#session.incarnation}/quota`;
    const open = this.#txns.openNext(idPrefix, (team) => this.#held(team));
    return open === undefined
      ? []
      : [{ type: 'commit', txn: quotaTransaction(open, this.#accounts) }];
  }

  #held(team: TeamName): number {
    return this.#accounts.get(team).held(this.#options.self, this.#session.incarnation);
  }

  #onSettled(txnId: string, result: Settlement, now: Millis): readonly QuotaDecision[] {
    const open = this.#txns.close(txnId);
    if (open === undefined) {
      return [];
    }
    switch (result.committed) {
      case true:
        this.#onCommitted(open, result.versions);
        break;
      case false:
        this.#onConflict(open, result.failed);
        break;
      case 'unknown':
        for (const [team, { units }] of open.plans) {
          this.#accounts.get(team).onUnknownOutcome(units, open.held.get(team) ?? 0);
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
        this.#accounts.get(team).onUnknownOutcome(units, open.held.get(team) ?? 0);
      } else {
        this.#accounts.get(team).onRow(version, row);
      }
    }
  }

  /** A conflict on some teams must not delay the others, which are committed again at once. */
  #onConflict(open: OpenTxn, failed: readonly string[]): void {
    const conflicts = new Set(failed.map(teamOfKey));
    for (const team of conflicts) {
      this.#accounts.get(team).isolatedUntilRound = this.#round + ISOLATED_ROUNDS;
    }
    const rest = [...open.plans].filter(([team]) => !conflicts.has(team));
    if (rest.length > 0 && rest.length < open.plans.size) {
      this.#txns.addFirst({ plans: new Map(rest) });
    }
  }

  #backOff(now: Millis): void {
    this.#txns.replace([]);
    this.#schedule.onFailed(now);
  }

  /** Offers fewer units to the limiter as soon as the target is lower; the row is lowered later. */
  #reduceOffers(now: Millis): void {
    for (const [team, account] of this.#accounts.all()) {
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
    const usable = this.#accounts
      .all()
      .map(([team, account]) => [team, account.usable(self, this.#session.incarnation)] as const)
      .filter(([, units]) => units > 0);
    const units = new Map(usable);
    const validUntil = this.#session.usableUntil;
    const changed = this.#unitsPublisher.update(units, validUntil);
    const { serial } = this.#unitsPublisher;
    this.#accounts.onPublished(serial);
    return changed ? [{ type: 'usable', serial, units, validUntil }] : [];
  }

  #publishUnmetDemand(now: Millis): readonly QuotaDecision[] {
    const missing = unmetDemand(this.#accounts, (team) => this.#held(team));
    const wants = this.#unmetDemandPublisher.update(missing, now);
    return wants === undefined ? [] : [{ type: 'want', wants }];
  }

  #reportReleased(): readonly QuotaDecision[] {
    if (!this.#stopping || this.#released || this.#txns.hasOpen) {
      return [];
    }
    const left = this.#accounts
      .all()
      .some(([team, account]) => this.#held(team) > 0 || account.inDoubt || account.need > 0);
    this.#released = !left;
    return left ? [] : [{ type: 'released' }];
  }
}
