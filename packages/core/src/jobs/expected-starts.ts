import type { Millis, QueueName, TeamName } from '../types/index.js';
import type { ExpectedStart } from './admission.js';
import type { JobSpec } from './model.js';
import { START_UNIT_MS, type SizedStart, type WorkAheadLane } from './work-ahead.js';

/** Bounds the memory for accepted jobs; older ones are dropped first. */
const MAX_ACCEPTED = 10_000;
const PERCENT = 100;

interface Lane {
  readonly processors: number;
  readonly workPercent: number;
  readonly teams: ReadonlyMap<TeamName, readonly SizedStart[]>;
}

interface OwnJob {
  readonly lane: Lane | undefined;
  readonly queue: QueueName;
  readonly team: TeamName;
  /** Product of processors and declared duration. */
  readonly work: number;
  readonly acceptedAt: Millis;
}

/**
 * When jobs would start that are submitted now, on any member: from what the leader published and
 * from the jobs that this member has accepted since.
 */
export class ExpectedStarts {
  #lanes: ReadonlyMap<QueueName, Lane> = new Map();
  #readAt: Millis | undefined;
  /** Jobs that the published figures may not include, oldest first. */
  #accepted: OwnJob[] = [];

  /** Takes figures that include all jobs stored before `readAt`. */
  apply(lanes: readonly WorkAheadLane[], readAt: Millis): void {
    this.#readAt = readAt;
    this.#lanes = new Map(
      lanes.map(({ queue, teams, ...lane }) => [
        queue,
        { ...lane, teams: new Map(Object.entries(teams)) },
      ]),
    );
    this.#accepted = this.#accepted
      .filter(({ acceptedAt }) => acceptedAt >= readAt)
      .map((one) => ({ ...one, lane: this.#lanes.get(one.queue) }));
  }

  /** Drops the figures, as a new leader has none yet. */
  clear(): void {
    this.#readAt = undefined;
    this.#lanes = new Map();
  }

  recordAccepted(queue: QueueName, team: TeamName, spec: JobSpec, acceptedAt: Millis): void {
    const lane = this.#lanes.get(queue);
    this.#accepted.push({ lane, queue, team, work: declaredWork(spec), acceptedAt });
    if (this.#accepted.length > MAX_ACCEPTED) {
      this.#accepted.shift();
    }
  }

  /**
   * Undefined if there are no figures, or none of the queue, the team or such a small job. What has been
   * served since the read is deducted. Own jobs up to the same size count as if the whole pool were to
   * serve them first.
   */
  startOf(queue: QueueName, team: TeamName, spec: JobSpec, now: Millis): ExpectedStart | undefined {
    const lane = this.#lanes.get(queue);
    if (this.#readAt === undefined || lane === undefined) {
      return undefined;
    }
    const work = declaredWork(spec);
    const expected = (work * lane.workPercent) / PERCENT;
    const start = lane.teams.get(team)?.findLast(([fromWork]) => expected >= fromWork);
    if (start === undefined) {
      return undefined;
    }
    const [, inTime, late] = start;
    const ageMs = now - this.#readAt;
    const own = this.#accepted.filter(
      (one) => one.lane === lane && one.team === team && one.work <= work,
    );
    const ownWork = (own.reduce((sum, one) => sum + one.work, 0) * lane.workPercent) / PERCENT;
    const ownMs = ownWork / lane.processors;
    const startMs = (units: number): Millis => Math.max(0, units * START_UNIT_MS + ownMs - ageMs);
    return { inTimeMs: startMs(inTime), lateMs: startMs(late), ageMs };
  }

  /** Age of the latest figures; undefined if there are none. */
  ageMs(now: Millis): Millis | undefined {
    return this.#readAt === undefined ? undefined : now - this.#readAt;
  }
}

function declaredWork({ steps }: JobSpec): number {
  return steps.reduce(
    (sum, { fills, taskCount, resources, estimateMs }) =>
      sum + (fills ? 0 : taskCount * resources.processors * estimateMs),
    0,
  );
}
