import { NO_RESOURCES, add, subtract } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { TeamName } from '../types/index.js';
import type { JobId } from './model.js';
import type { StartGroup } from './start-group.js';
import type { WaitingWork } from './team-shares.js';

/** What one job adds to the waiting work of its group. */
export interface WaitingJob {
  readonly key: string;
  readonly start: StartGroup;
  readonly team: TeamName;
  readonly worthless: boolean;
  /** Capacity that its pending tasks take. */
  readonly need: Resources;
}

interface GroupTotal extends WaitingWork {
  readonly start: StartGroup;
  readonly team: TeamName;
  readonly jobs: number;
}

/** Sums of the waiting work of jobs, kept by group so that a change of one job costs the same always. */
export class WaitingTotals {
  readonly #jobs = new Map<JobId, WaitingJob>();
  readonly #groups = new Map<string, GroupTotal>();

  add(id: JobId, job: WaitingJob): void {
    this.remove(id);
    const { key, start, team } = job;
    const none = { start, team, jobs: 0, useful: NO_RESOURCES, worthless: NO_RESOURCES };
    const total = this.#groups.get(key) ?? none;
    this.#jobs.set(id, job);
    this.#groups.set(key, { ...change(total, job, add), jobs: total.jobs + 1 });
  }

  remove(id: JobId): void {
    const job = this.#jobs.get(id);
    const total = job === undefined ? undefined : this.#groups.get(job.key);
    if (job === undefined || total === undefined) {
      return;
    }
    this.#jobs.delete(id);
    if (total.jobs === 1) {
      // Begins anew with the next job, so that rounding errors do not add up.
      this.#groups.delete(job.key);
    } else {
      this.#groups.set(job.key, { ...change(total, job, subtract), jobs: total.jobs - 1 });
    }
  }

  /** Sums of the groups that count, by team. */
  byTeam(counts: (group: StartGroup) => boolean): ReadonlyMap<TeamName, WaitingWork> {
    const sums = new Map<TeamName, WaitingWork>();
    for (const { start, team, useful, worthless } of this.#groups.values()) {
      if (counts(start)) {
        const sum = sums.get(team) ?? { useful: NO_RESOURCES, worthless: NO_RESOURCES };
        sums.set(team, {
          useful: add(sum.useful, useful),
          worthless: add(sum.worthless, worthless),
        });
      }
    }
    return sums;
  }
}

function change(total: GroupTotal, { worthless, need }: WaitingJob, by: typeof add): GroupTotal {
  return worthless
    ? { ...total, worthless: by(total.worthless, need) }
    : { ...total, useful: by(total.useful, need) };
}
