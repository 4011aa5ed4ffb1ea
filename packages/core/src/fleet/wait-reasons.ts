import type { InstanceName, Millis, PlanName, PoolName, ZoneName } from '../types/index.js';
import type { Cause } from './rows.js';

/** Why a plan, an instance or a pool can't make progress now. */
export type FleetWaitReason =
  | {
      readonly type: 'budget';
      readonly pool: PoolName;
      readonly zone?: ZoneName;
      readonly used: number;
      readonly needed: number;
      readonly limit: number;
    }
  /** The whole budget is smaller than the group, so waiting won't help. */
  | {
      readonly type: 'impossible';
      readonly pool: PoolName;
      readonly zone?: ZoneName;
      readonly needed: number;
      readonly limit: number;
    }
  | { readonly type: 'reserved'; readonly pool: PoolName; readonly cause: Cause }
  /** A write of this pool's row is in flight, or its outcome is unknown. */
  | { readonly type: 'transaction'; readonly pool: PoolName }
  | { readonly type: 'window' }
  | { readonly type: 'paused' }
  | { readonly type: 'parallel'; readonly limit: number }
  | { readonly type: 'pace' }
  | { readonly type: 'failures'; readonly atWave: number; readonly current: number }
  | { readonly type: 'instance-down'; readonly instance: InstanceName }
  | { readonly type: 'instance-busy'; readonly instance: InstanceName; readonly cause: Cause }
  | { readonly type: 'drain'; readonly instance: InstanceName }
  | { readonly type: 'reboot'; readonly instance: InstanceName }
  | { readonly type: 'zone-out'; readonly zone: ZoneName }
  | { readonly type: 'zone-ramp'; readonly zone: ZoneName }
  | { readonly type: 'operator-hold' }
  | { readonly type: 'no-spare' };

export type WaitSubject =
  | { readonly kind: 'plan'; readonly name: PlanName }
  | { readonly kind: 'instance'; readonly name: InstanceName }
  | { readonly kind: 'pool'; readonly name: PoolName };

/** A wait reason of a subject, and the monotonic time since which it has applied. */
export interface Wait {
  readonly subject: WaitSubject;
  readonly reason: FleetWaitReason;
  readonly since: Millis;
}

/** Tracks what each plan, instance and pool waits for, and since when. */
export class WaitTracker {
  #waits = new Map<string, Wait>();
  #next = new Map<string, Wait>();

  /** Records a reason in the current round. The first reason of each subject is kept. */
  record(subject: WaitSubject, reason: FleetWaitReason, now: Millis): void {
    const key = subjectKey(subject);
    if (this.#next.has(key)) {
      return;
    }
    const before = this.#waits.get(key);
    if (before !== undefined && reason.type === 'transaction') {
      // Transactions last for milliseconds only, so the previous reason is more informative.
      this.#next.set(key, before);
      return;
    }
    const since = before?.reason.type === reason.type ? before.since : now;
    this.#next.set(key, { subject, reason, since });
  }

  /** Ends a round: subjects without a reason no longer wait. Returns waits of a new reason type. */
  endRound(): readonly Wait[] {
    const changed = [...this.#next].filter(([key, wait]) => {
      return this.#waits.get(key)?.reason.type !== wait.reason.type;
    });
    this.#waits = this.#next;
    this.#next = new Map();
    return changed.map(([, wait]) => wait);
  }

  find(kind: WaitSubject['kind'], name: string): Wait | undefined {
    return this.#waits.get(`${kind}/${name}`);
  }
}

function subjectKey(subject: WaitSubject): string {
  return `${subject.kind}/${subject.name}`;
}
