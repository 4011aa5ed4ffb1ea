import type { InstanceName, Millis } from '../types/index.js';
import type { FleetDecision } from './messages.js';
import type { RoundContext } from './round-context.js';
import type { BudgetEntry, Cause, Fence } from './rows.js';
import type { WaitReason } from './wait-reasons.js';

/** A drain or reboot is sent again after this time, because an act may be lost on its way. */
const ACT_RESEND_MS = 30_000;
/** A planned reboot that takes longer counts as a failure of the instance. */
export const REBOOT_OVERDUE_MS = 900_000;

/** What this owner has done about one entry. Not stored: a new owner sends the acts again. */
interface Progress {
  readonly epoch: number;
  readonly drainSentAt?: Millis;
  readonly drained: boolean;
  readonly rebootSentAt?: Millis;
  readonly firstRebootAt?: Millis;
}

/** Says whether an entry that doesn't end with a reboot is still wanted. */
export type HoldCheck = (entry: BudgetEntry, context: RoundContext) => WaitReason | undefined;

/** Carries every entry that was taken through drain and reboot to its release. */
export class Disruptions {
  readonly #progress = new Map<string, Progress>();
  readonly #draining = new Set<InstanceName>();
  readonly #holds: HoldCheck;

  constructor(holds: HoldCheck) {
    this.#holds = holds;
  }

  /** Notes whether the instance itself reports that it drains. */
  reportDraining(instance: InstanceName, draining: boolean): void {
    if (draining) {
      this.#draining.add(instance);
    } else {
      this.#draining.delete(instance);
    }
  }

  /** Notes the end of a drain for each entry that was taken under the fence's role. */
  drainFinished(instance: InstanceName, fence: Fence): void {
    for (const [key, progress] of this.#progress) {
      const matches = key.startsWith(`${instance} ${fence.role} `);
      if (matches && progress.epoch === fence.epoch) {
        this.#progress.set(key, { ...progress, drained: true });
      }
    }
  }

  /** True if this owner has begun to drain for the entry, or an earlier owner may have. */
  hasStarted(entry: BudgetEntry, fence: Fence): boolean {
    return entry.epoch !== fence.epoch || this.#current(entry, fence).drainSentAt !== undefined;
  }

  /** True if a planned reboot of the instance has taken too long. */
  isOverdue(entry: BudgetEntry, now: Millis): boolean {
    const begun = this.#progress.get(keyOf(entry))?.firstRebootAt;
    return begun !== undefined && now - begun > REBOOT_OVERDUE_MS;
  }

  /** Releases what has ended, in the round's batch. */
  release(context: RoundContext): void {
    const entries = context.ledger.plannedEntriesOf(context.role);
    this.#prune(entries, context);
    for (const entry of entries) {
      if (this.#hasEnded(entry, context)) {
        context.batch.release(entry);
      }
    }
  }

  /** The next acts for what is taken, and what each instance waits for. */
  act(context: RoundContext): readonly FleetDecision[] {
    return this.#ownEntries(context).flatMap((entry) => this.#actOn(entry, context));
  }

  /** Forgets the progress of a role that was lost. */
  forget(role: string): void {
    for (const key of this.#progress.keys()) {
      if (key.split(' ')[1] === role) {
        this.#progress.delete(key);
      }
    }
  }

  /** Forgets entries that are gone, so that a later one for the same instance starts afresh. */
  #prune(entries: readonly BudgetEntry[], { role }: RoundContext): void {
    const kept = new Set(entries.map(keyOf));
    for (const key of this.#progress.keys()) {
      if (key.split(' ')[1] === role && !kept.has(key)) {
        this.#progress.delete(key);
      }
    }
  }

  /** An entry whose release is on its way gets no acts, since its units may be gone already. */
  #ownEntries({ ledger, role }: RoundContext): readonly BudgetEntry[] {
    return ledger.plannedEntriesOf(role).filter((entry) => !ledger.isReleasing(entry));
  }

  #current(entry: BudgetEntry, fence: Fence): Progress {
    const known = this.#progress.get(keyOf(entry));
    return known?.epoch === fence.epoch ? known : { epoch: fence.epoch, drained: false };
  }

  /**
   * A release needs a drain that ended under the owner's own epoch. An instance that has seen this
   * epoch rejects acts of an earlier owner that still believes it holds the unit.
   */
  #hasEnded(entry: BudgetEntry, context: RoundContext): boolean {
    const { drained } = this.#current(entry, context.fence);
    if (!drained) {
      return context.view.instance(entry.instance) === undefined;
    }
    if (endsWithReboot(entry.cause)) {
      return hasRebooted(entry, context) && hasMoved(entry, context);
    }
    return this.#holds(entry, context) === undefined;
  }

  #actOn(entry: BudgetEntry, context: RoundContext): readonly FleetDecision[] {
    const { view, waits, now } = context;
    const subject = { kind: 'instance', name: entry.instance } as const;
    if (!view.isUp(entry.instance)) {
      waits.note(subject, { type: 'instance-down', instance: entry.instance }, now);
      return [];
    }
    const progress = this.#current(entry, context.fence);
    if (!progress.drained) {
      return this.#drain(entry, progress, context);
    }
    if (endsWithReboot(entry.cause) && !hasRebooted(entry, context)) {
      return this.#reboot(entry, progress, context);
    }
    const reason = this.#holds(entry, context);
    if (reason !== undefined) {
      waits.note(subject, reason, now);
    }
    return [];
  }

  #drain(entry: BudgetEntry, progress: Progress, context: RoundContext): readonly FleetDecision[] {
    const { now, fence, waits } = context;
    const { instance } = entry;
    const subject = { kind: 'instance', name: instance } as const;
    const obstacle = this.#obstacle(entry, context);
    if (obstacle !== undefined) {
      waits.note(subject, obstacle, now);
      return [];
    }
    waits.note(subject, { type: 'drain', instance }, now);
    if (!isDue(progress.drainSentAt, now)) {
      return [];
    }
    this.#progress.set(keyOf(entry), { ...progress, drainSentAt: now });
    return [{ type: 'drain', instance, fence }];
  }

  /**
   * A drain that has not begun stays back while failures that came after the take exceed the budget.
   * One that the instance itself reports goes on, since the instance is unavailable already.
   */
  #obstacle(entry: BudgetEntry, { ledger }: RoundContext): WaitReason | undefined {
    if (this.#draining.has(entry.instance)) {
      return undefined;
    }
    for (const pool of entry.pools) {
      const reason = ledger.excess(pool);
      if (reason !== undefined) {
        return reason;
      }
    }
    return undefined;
  }

  #reboot(
    entry: BudgetEntry,
    progress: Progress,
    { now, fence, waits }: RoundContext,
  ): readonly FleetDecision[] {
    const { instance } = entry;
    waits.note({ kind: 'instance', name: instance }, { type: 'reboot', instance }, now);
    if (!isDue(progress.rebootSentAt, now)) {
      return [];
    }
    const firstRebootAt = progress.firstRebootAt ?? now;
    this.#progress.set(keyOf(entry), { ...progress, rebootSentAt: now, firstRebootAt });
    return [{ type: 'reboot', instance, boot: entry.boot, fence }];
  }
}

function keyOf(entry: BudgetEntry): string {
  return `${entry.instance} ${entry.role} ${entry.cause}`;
}

function isDue(sentAt: Millis | undefined, now: Millis): boolean {
  return sentAt === undefined || now - sentAt >= ACT_RESEND_MS;
}

export function endsWithReboot(cause: Cause): boolean {
  return cause.startsWith('plan/') || cause.startsWith('move/');
}

function hasRebooted(entry: BudgetEntry, { view }: RoundContext): boolean {
  return view.isUp(entry.instance) && (view.boot(entry.instance) ?? 0) > entry.boot;
}

/** A move's units are held until the configuration shows the instance in its new pool. */
function hasMoved(entry: BudgetEntry, { view }: RoundContext): boolean {
  const to = entry.pools[1];
  return to === undefined || view.instance(entry.instance)?.spec.pool === to;
}
