import type { Resources } from '../tasks/model.js';
import type { Millis, TeamName } from '../types/index.js';
import { latenessOf } from './ordering.js';
import type { FirstOfGroup } from './ready-jobs.js';
import type { TeamShares } from './team-shares.js';

/**
 * Fraction of a mean task after which a team that lacks some of its share is overdue. Where tasks end
 * together, it must be overdue at the next ends, and tasks differ in duration.
 */
const OVERDUE_FRACTION = 0.9;
/** Period of the reviews as a fraction of a mean task; each one looks at all waiting groups. */
const REVIEW_FRACTION = 0.125;

/**
 * Since when teams lack some of their share of one pool. Without it, a team whose jobs are served
 * first among those below their share takes all that becomes free whenever its own tasks end together.
 */
export class ShareWaits {
  readonly #since = new Map<TeamName, Millis>();
  #reviewedAt: Millis = -Infinity;

  /** Time since when an overdue team lacks some of its share; undefined if it is not overdue. */
  overdueSince(team: TeamName, meanTaskMs: Millis, now: Millis): Millis | undefined {
    const since = this.#since.get(team);
    return since !== undefined && now - since >= OVERDUE_FRACTION * meanTaskMs ? since : undefined;
  }

  /** Tasks of a team have started, the first of which takes `task`. */
  onStarted(team: TeamName, task: Resources, shares: TeamShares): void {
    if (this.#since.has(team) && !shares.lacks(team, task)) {
      this.#since.delete(team);
    }
  }

  /** Ends a round that has started tasks; in others, nobody is passed over. */
  review(
    waiting: Iterable<FirstOfGroup>,
    shares: TeamShares,
    meanTaskMs: Millis,
    now: Millis,
  ): void {
    if (now - this.#reviewedAt < REVIEW_FRACTION * meanTaskMs) {
      return;
    }
    this.#reviewedAt = now;
    const lacking = shares.single ? new Set<TeamName>() : teamsLacking(waiting, shares, now);
    for (const team of this.#since.keys()) {
      if (!lacking.has(team)) {
        this.#since.delete(team);
      }
    }
    for (const team of lacking) {
      this.#since.set(team, this.#since.get(team) ?? now);
    }
  }
}

function teamsLacking(
  waiting: Iterable<FirstOfGroup>,
  shares: TeamShares,
  now: Millis,
): ReadonlySet<TeamName> {
  const lacking = new Set<TeamName>();
  for (const { start, job } of waiting) {
    const { team } = job.accepted;
    const need = start.needs.find(({ lasting }) => !lasting);
    if (need !== undefined && !start.adopted && !lacking.has(team)) {
      if (shares.lacks(team, need.resources) && latenessOf(job, now) !== 'worthless') {
        lacking.add(team);
      }
    }
  }
  return lacking;
}
