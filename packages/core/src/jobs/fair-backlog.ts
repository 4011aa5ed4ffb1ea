import type { Millis, TeamName } from '../types/index.js';
import type { JobOrdering, ServiceRank } from './ordering.js';
import { FairService } from './fair-service.js';
import type { ContendingTeam } from './team-shares.js';

/** Work of a contending team in one pool. Work is the time that the whole pool would take for it. */
export interface TeamBacklog extends ContendingTeam {
  /** Rest of what runs. */
  readonly runningMs: Millis;
  /** Work of the tasks that wait, of jobs that can still have value. */
  readonly waiting: readonly RankedWork[];
}

export interface RankedWork {
  readonly rank: ServiceRank;
  readonly workMs: Millis;
  /** Work that arrives in each millisecond. */
  readonly arrivalRate: number;
}

/** Times for which work is expected to arrive as it did lately. */
export interface ArrivalTimes {
  /** While a job is in time. */
  readonly inTimeMs: Millis;
  /** While it has value. */
  readonly lateMs: Millis;
}

/** When a job would start that is submitted now. */
export interface FairStart {
  /** While it is in time: late jobs of its team are served after it. */
  readonly inTimeMs: Millis;
  /** If it becomes late: what waits now is then late, too, and what arrives is served first. */
  readonly lateMs: Millis;
}

/** The contending teams of a pool, which share what the others leave by weight until their work is done. */
export class FairBacklog {
  readonly #backlogs: ReadonlyMap<TeamName, TeamBacklog>;
  readonly #order: JobOrdering;
  readonly #services = new Map<Millis, FairService>();

  constructor(backlogs: readonly TeamBacklog[], order: JobOrdering) {
    this.#backlogs = new Map(backlogs.map((one) => [one.team, one]));
    this.#order = order;
  }

  get teams(): readonly TeamName[] {
    return [...this.#backlogs.keys()];
  }

  /** Sizes of jobs at which the start changes, in processor-milliseconds, from 0. */
  sizes(team: TeamName): readonly number[] {
    const works = this.#backlogs.get(team)?.waiting.map(({ rank }) => rank.work) ?? [];
    return [...new Set([0, ...works])].sort((a, b) => a - b);
  }

  /** Start of a job of a team that has not started: after all that the order serves before it. */
  startOf(
    team: TeamName,
    job: Pick<ServiceRank, 'job' | 'work'>,
    arrivals: ArrivalTimes,
  ): FairStart {
    const backlog = this.#backlogs.get(team);
    if (backlog === undefined) {
      return { inTimeMs: 0, lateMs: 0 };
    }
    const inTime = {
      ...job,
      value: 'in-time',
      standing: 'below',
      overdueSince: undefined,
      started: false,
    } as const;
    const late = { ...inTime, value: 'late' } as const;
    const ahead = (works: readonly RankedWork[], rank: ServiceRank): readonly RankedWork[] =>
      works.filter((one) => this.#order.compare(one.rank, rank) <= 0);
    const { waiting } = backlog;
    const arriving = asOf(waiting, 'in-time', false);
    const lateMs = this.#startMs(
      backlog,
      ahead(asOf(waiting, 'late'), late),
      ahead(arriving, late),
      arrivals.lateMs,
    );
    const inTimeMs = this.#startMs(
      backlog,
      ahead(waiting, inTime),
      ahead(arriving, inTime),
      arrivals.inTimeMs,
    );
    return { inTimeMs, lateMs };
  }

  /** When the work ahead has been done, with what arrives of the same rank for a time. */
  #startMs(
    { weight, share, runningMs }: TeamBacklog,
    ahead: readonly RankedWork[],
    arriving: readonly RankedWork[],
    arrivalsMs: Millis,
  ): Millis {
    const aheadMs = workOf(ahead, runningMs);
    const rate = rateOf(arriving);
    const doneMs = this.#service(arrivalsMs).doneAtMs((aheadMs + rate * arrivalsMs) / weight);
    if (rate >= share) {
      return doneMs;
    }
    // The team catches up with what arrives, perhaps before it ceases to arrive.
    const caughtUpMs = this.#service(0).doneAtMs(aheadMs / weight) / (1 - rate / share);
    return Math.min(doneMs, caughtUpMs);
  }

  #service(arrivalsMs: Millis): FairService {
    const known = this.#services.get(arrivalsMs);
    if (known !== undefined) {
      return known;
    }
    const created = new FairService(
      [...this.#backlogs.values()].map(({ weight, share, runningMs, waiting }) => {
        return { weight, share, workMs: workOf(waiting, runningMs) + rateOf(waiting) * arrivalsMs };
      }),
    );
    this.#services.set(arrivalsMs, created);
    return created;
  }
}

/** The same work as of a time when its jobs are all in time or late. */
function asOf(
  works: readonly RankedWork[],
  value: 'in-time' | 'late',
  started?: boolean,
): readonly RankedWork[] {
  return works.map((one) => ({
    ...one,
    rank: { ...one.rank, value, started: started ?? one.rank.started },
  }));
}

function workOf(works: readonly RankedWork[], initialMs: Millis): Millis {
  return works.reduce((sum, { workMs }) => sum + workMs, initialMs);
}

function rateOf(works: readonly RankedWork[]): number {
  return works.reduce((sum, { arrivalRate }) => sum + arrivalRate, 0);
}
