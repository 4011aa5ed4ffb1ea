import type { InstanceName, Millis } from '../types/index.js';
import type { FleetDecision } from './messages.js';
import type { RoundContext } from './round-context.js';
import type { BudgetEntry, Cause, OwnerFence } from './rows.js';
import type { FleetWaitReason } from './wait-reasons.js';

/** A drain or reboot command is sent again after this time, because it may have been lost. */
const COMMAND_RESEND_MS = 30_000;
/** A planned reboot that takes longer counts as a failure of the instance. */
export const REBOOT_OVERDUE_MS = 900_000;

/** Progress of one entry under this owner. Not stored: a new owner sends the commands again. */
interface EntryProgress {
  readonly epoch: number;
  readonly drainSentAt?: Millis;
  readonly drained: boolean;
  readonly rebootSentAt?: Millis;
  readonly firstRebootAt?: Millis;
}

/** Returns why an entry that doesn't end with a reboot must be kept, or undefined to release it. */
export type HoldCheck = (entry: BudgetEntry, context: RoundContext) => FleetWaitReason | undefined;

/** Drives each planned budget entry through drain and reboot to its release. */
export class Disruptions {
  readonly #progress = new Map<string, EntryProgress>();
  readonly #reportedDraining = new Set<InstanceName>();
  readonly #holdReason: HoldCheck;

  constructor(holdReason: HoldCheck) {
    this.#holdReason = holdReason;
  }

  /** Records whether the instance itself reports that it drains. */
  recordReportedDraining(instance: InstanceName, draining: boolean): void {
    if (draining) {
      this.#reportedDraining.add(instance);
    } else {
      this.#reportedDraining.delete(instance);
    }
  }

  /** Records the end of a drain for each of the instance's entries acquired by the fence's role. */
  recordDrainFinished(instance: InstanceName, fence: OwnerFence): void {
    for (const [key, progress] of this.#progress) {
      const matches = key.startsWith(`${instance} ${fence.role} `);
      if (matches && progress.epoch === fence.epoch) {
        this.#progress.set(key, { ...progress, drained: true });
      }
    }
  }

  /** True if this owner has sent a drain command for the entry, or an earlier owner may have. */
  hasStarted(entry: BudgetEntry, fence: OwnerFence): boolean {
    return entry.epoch !== fence.epoch || this.#progressOf(entry, fence).drainSentAt !== undefined;
  }

  /** True if a planned reboot of the instance has taken too long. */
  isOverdue(entry: BudgetEntry, now: Millis): boolean {
    const begun = this.#progress.get(progressKey(entry))?.firstRebootAt;
    return begun !== undefined && now - begun > REBOOT_OVERDUE_MS;
  }

  /** Adds the release of every entry that has ended to the round's batch. */
  release(context: RoundContext): void {
    const entries = context.ledger.plannedEntriesTakenBy(context.role);
    this.#pruneProgress(entries, context);
    for (const entry of entries) {
      if (this.#hasEnded(entry, context)) {
        context.batch.release(entry);
      }
    }
  }

  /** Returns the commands that are due, and records what each instance waits for. */
  advance(context: RoundContext): readonly FleetDecision[] {
    return this.#entriesToAdvance(context).flatMap((entry) => this.#advanceEntry(entry, context));
  }

  /** Discards the progress of a role whose ownership was lost. */
  forget(role: string): void {
    for (const key of this.#progress.keys()) {
      if (key.split(' ')[1] === role) {
        this.#progress.delete(key);
      }
    }
  }

  /** Discards progress of released entries, so that a later one with the same key starts anew. */
  #pruneProgress(entries: readonly BudgetEntry[], { role }: RoundContext): void {
    const kept = new Set(entries.map(progressKey));
    for (const key of this.#progress.keys()) {
      if (key.split(' ')[1] === role && !kept.has(key)) {
        this.#progress.delete(key);
      }
    }
  }

  /** No command is sent for an entry whose release is in flight: its units may be free already. */
  #entriesToAdvance({ ledger, role }: RoundContext): readonly BudgetEntry[] {
    return ledger.plannedEntriesTakenBy(role).filter((entry) => !ledger.isReleasing(entry));
  }

  #progressOf(entry: BudgetEntry, fence: OwnerFence): EntryProgress {
    const known = this.#progress.get(progressKey(entry));
    return known?.epoch === fence.epoch ? known : { epoch: fence.epoch, drained: false };
  }

  /**
   * An entry is released only after a drain that ended under the current owner's epoch. An instance
   * that has seen this epoch rejects commands of a former owner that believes it holds the unit.
   */
  #hasEnded(entry: BudgetEntry, context: RoundContext): boolean {
    const { drained } = this.#progressOf(entry, context.fence);
    if (!drained) {
      return context.view.instance(entry.instance) === undefined;
    }
    if (endsWithReboot(entry.cause)) {
      return hasRebooted(entry, context) && hasMoved(entry, context);
    }
    return this.#holdReason(entry, context) === undefined;
  }

  #advanceEntry(entry: BudgetEntry, context: RoundContext): readonly FleetDecision[] {
    const { view, waits, now } = context;
    const subject = { kind: 'instance', name: entry.instance } as const;
    if (!view.isUp(entry.instance)) {
      waits.record(subject, { type: 'instance-down', instance: entry.instance }, now);
      return [];
    }
    const progress = this.#progressOf(entry, context.fence);
    if (!progress.drained) {
      return this.#drain(entry, progress, context);
    }
    if (endsWithReboot(entry.cause) && !hasRebooted(entry, context)) {
      return this.#reboot(entry, progress, context);
    }
    const reason = this.#holdReason(entry, context);
    if (reason !== undefined) {
      waits.record(subject, reason, now);
    }
    return [];
  }

  #drain(
    entry: BudgetEntry,
    progress: EntryProgress,
    context: RoundContext,
  ): readonly FleetDecision[] {
    const { now, fence, waits } = context;
    const { instance } = entry;
    const subject = { kind: 'instance', name: instance } as const;
    const blockedBy = this.#drainBlockedBy(entry, context);
    if (blockedBy !== undefined) {
      waits.record(subject, blockedBy, now);
      return [];
    }
    waits.record(subject, { type: 'drain', instance }, now);
    if (!isResendDue(progress.drainSentAt, now)) {
      return [];
    }
    this.#progress.set(progressKey(entry), { ...progress, drainSentAt: now });
    return [{ type: 'drain', instance, fence }];
  }

  /**
   * A drain doesn't start while failures since the entry was acquired exceed the budget. A drain
   * that the instance itself reports continues, since the instance is unavailable already.
   */
  #drainBlockedBy(entry: BudgetEntry, { ledger }: RoundContext): FleetWaitReason | undefined {
    if (this.#reportedDraining.has(entry.instance)) {
      return undefined;
    }
    for (const pool of entry.pools) {
      const reason = ledger.exceededBudget(pool);
      if (reason !== undefined) {
        return reason;
      }
    }
    return undefined;
  }

  #reboot(
    entry: BudgetEntry,
    progress: EntryProgress,
    { now, fence, waits }: RoundContext,
  ): readonly FleetDecision[] {
    const { instance } = entry;
    waits.record({ kind: 'instance', name: instance }, { type: 'reboot', instance }, now);
    if (!isResendDue(progress.rebootSentAt, now)) {
      return [];
    }
    const firstRebootAt = progress.firstRebootAt ?? now;
    this.#progress.set(progressKey(entry), { ...progress, rebootSentAt: now, firstRebootAt });
    return [{ type: 'reboot', instance, boot: entry.boot, fence }];
  }
}

function progressKey(entry: BudgetEntry): string {
  return `${entry.instance} ${entry.role} ${entry.cause}`;
}

function isResendDue(sentAt: Millis | undefined, now: Millis): boolean {
  return sentAt === undefined || now - sentAt >= COMMAND_RESEND_MS;
}

export function endsWithReboot(cause: Cause): boolean {
  return cause.startsWith('plan/') || cause.startsWith('move/');
}

function hasRebooted(entry: BudgetEntry, { view }: RoundContext): boolean {
  return view.isUp(entry.instance) && (view.boot(entry.instance) ?? 0) > entry.boot;
}

/** The units of a move are kept until the configuration shows the instance in its new pool. */
function hasMoved(entry: BudgetEntry, { view }: RoundContext): boolean {
  const to = entry.pools[1];
  return to === undefined || view.instance(entry.instance)?.spec.pool === to;
}
