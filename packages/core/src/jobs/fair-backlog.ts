import { waterFill } from '../requests/water-fill.js';
import type { Millis, TeamName } from '../types/index.js';
import type { WorkRank } from './pool-work.js';

/** Difference of shares that is taken for rounding. */
const SHARE_TOLERANCE = 1e-9;

/** Work of one team in one pool. Work is the time that the whole pool would take for it. */
export interface TeamBacklog {
  readonly team: TeamName;
  readonly weight: number;
  /** Share of the pool that the team could use now. */
  readonly demand: number;
  /** Rest of what runs. */
  readonly runningMs: Millis;
  /** Work of the tasks that wait, of jobs that can still have value. */
  readonly waiting: readonly RankedWork[];
}

export interface RankedWork extends WorkRank {
  readonly workMs: Millis;
}

/** When work of a team would start that is added now. */
export interface FairStart {
  /** For work that is in time: when the team's present work that is in time has been done. */
  readonly inTimeMs: Millis;
  /** For work that has become late: when the team's present work has been done. */
  readonly lateMs: Millis;
}

/** Work of one competing team, in relation to its weight. */
interface Competitor {
  readonly team: TeamName;
  readonly weight: number;
  /** What is done before the job in question, and all that competes with other teams. */
  readonly aheadMs: Millis;
  readonly totalMs: Millis;
}

/**
 * Time after which work of a team would start if the pool is shared fairly (weighted max-min). Teams
 * whose whole demand fits into their share compete for nothing, and their work starts at once. The
 * others share the rest in proportion to their weights, each until its work is done.
 */
export class FairBacklog {
  readonly #competing: readonly TeamBacklog[];
  /** Share of the pool that the competing teams have together. */
  readonly #room: number;

  constructor(backlogs: readonly TeamBacklog[]) {
    const { shares } = waterFill(1, backlogs);
    const shareOf = ({ team }: TeamBacklog): number => shares.get(team) ?? 0;
    this.#competing = backlogs.filter((one) => one.demand > shareOf(one) + SHARE_TOLERANCE);
    this.#room = this.#competing.reduce((sum, one) => sum + shareOf(one), 0);
  }

  /**
   * Starts by team, for jobs of this priority and up to this size that have not started. Only of teams
   * that have more demand than their share. Late work of other teams is taken to yield to work in
   * time: that is the earliest possible start.
   */
  startsMs(priority: number, size: number): ReadonlyMap<TeamName, FairStart> {
    const isAhead = (work: RankedWork): boolean =>
      work.priority < priority || (work.priority === priority && work.size <= size);
    const inTime = this.#startsBehind(isAhead, (work) => work.inTime);
    const late = this.#startsBehind(isAhead, () => true);
    return new Map(
      [...late].map(([team, lateMs]) => [team, { inTimeMs: inTime.get(team) ?? 0, lateMs }]),
    );
  }

  #startsBehind(
    isAhead: (work: RankedWork) => boolean,
    counts: (work: RankedWork) => boolean,
  ): ReadonlyMap<TeamName, Millis> {
    const competitors = this.#competing.map(({ team, weight, runningMs, waiting }) => {
      const counted = waiting.filter(counts);
      const sum = (works: readonly RankedWork[]): Millis =>
        works.reduce((total, { workMs }) => total + workMs, runningMs) / weight;
      return { team, weight, aheadMs: sum(counted.filter(isAhead)), totalMs: sum(counted) };
    });
    return new Map([...doneAtMs(competitors)].map(([team, doneMs]) => [team, doneMs / this.#room]));
  }
}

/** Times at which teams have done what is ahead, in the time that all capacity would take. */
function doneAtMs(competitors: readonly Competitor[]): ReadonlyMap<TeamName, Millis> {
  const byTotal = [...competitors].sort((a, b) => a.totalMs - b.totalMs);
  const byAhead = [...competitors].sort((a, b) => a.aheadMs - b.aheadMs);
  const times = new Map<TeamName, Millis>();
  let doneMs = 0;
  let weightLeft = competitors.reduce((sum, { weight }) => sum + weight, 0);
  let next = 0;
  for (const { team, aheadMs } of byAhead) {
    // Teams whose work is done by then have left their share to the others.
    for (; ; next += 1) {
      const other = byTotal[next];
      if (other === undefined || other.totalMs > aheadMs) {
        break;
      }
      doneMs += other.totalMs * other.weight;
      weightLeft -= other.weight;
    }
    times.set(team, doneMs + Math.max(0, weightLeft) * aheadMs);
  }
  return times;
}
