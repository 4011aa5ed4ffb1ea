import { effectiveWeight, waterFill } from '../requests/water-fill.js';
import {
  add,
  dominantShare,
  fractionOf,
  largest,
  NO_RESOURCES,
  scale,
  subtract,
} from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, TeamName } from '../types/index.js';
import type { TeamPolicy } from './model.js';

/** Capacity that the pending tasks of a team need that may start in a pool. */
export interface WaitingWork {
  /** Of jobs that can still have value. */
  readonly useful: Resources;
  /** Of jobs that are too late to have any. */
  readonly worthless: Resources;
}

/** What the shares of a pool are computed from. */
export interface PoolUse {
  /** Capacity that finite tasks take or could take now. */
  readonly capacity: Resources;
  /** Teams of which finite tasks may run. */
  readonly users: readonly TeamName[];
  /** Capacity that runs of finite tasks of a team may take, as of the call. */
  readonly usage: (team: TeamName) => Resources;
  /** Finite work that waits, as of the call, by team. */
  readonly waiting: (now: Millis) => ReadonlyMap<TeamName, WaitingWork>;
  readonly teams: ReadonlyMap<TeamName, TeamPolicy>;
  /** What counts towards the cap of a team, in all pools. */
  readonly chargedToCap: (team: TeamName) => Resources;
  /** Since when an overdue team lacks some of its share; undefined if it is not overdue. */
  readonly overdueSince: (team: TeamName) => Millis | undefined;
}

/**
 * `below`: one more task stays within the share; `in-reach`: below it by less than a task; `reached`:
 * at the share or above. Teams that lack whole tasks come first, as otherwise a team could stay far
 * below its share while others go back and forth over the last fraction of theirs.
 */
export type ShareStanding = 'below' | 'in-reach' | 'reached';

/** A team below its share. All figures are fractions of the dominant resource of the pool. */
export interface TeamStanding {
  readonly team: TeamName;
  /** What the team would have with the capacity divided by weight, at most its demand. */
  readonly share: number;
  readonly usage: number;
  readonly waiting: number;
}

/** A team with more useful work than its share. */
export interface ContendingTeam {
  readonly team: TeamName;
  /** Only its ratio to the weights of the others has a meaning. */
  readonly weight: number;
  /** Fraction of the dominant resource of the pool. */
  readonly share: number;
}

/** Difference of fractions that is due to rounding. */
const ROUNDING_TOLERANCE = 1e-9;
/** A power of two, so exact. Sums of scaled weights stay finite for the largest weights. */
const WEIGHT_SCALE = 2 ** -64;

/** Demand of one team in a pool: what it has running and what may start. */
interface Claim {
  readonly team: TeamName;
  readonly weight: number;
  readonly demand: Resources;
}

/** Dominant share for each unit of weight at which teams have to stop. */
interface FairLevels {
  /** By team; infinite if no resource that the team needs is used up. */
  readonly byTeam: ReadonlyMap<TeamName, number>;
  /** That of the scarcest resource, for teams without demand. */
  readonly lowest: number;
}

/**
 * Which teams are below their share of a pool in one scheduling round. Shares are weighted max-min
 * over the dominant resource of each team, of the capacity that lasting tasks leave. They are as of
 * the beginning of the round; the usage is read at each question, so that it includes what the round
 * has started.
 */
export class TeamShares {
  /** Monotonic time of the round. */
  readonly at: Millis;
  readonly #use: PoolUse;
  readonly #waiting: ReadonlyMap<TeamName, WaitingWork>;
  /** Usage at the beginning of the round, of the teams with usage or waiting work. */
  readonly #initialUsage: ReadonlyMap<TeamName, Resources>;
  #usefulLevels: FairLevels | undefined;
  #allLevels: FairLevels | undefined;

  constructor(use: PoolUse, now: Millis) {
    this.at = now;
    this.#use = use;
    this.#waiting = use.waiting(now);
    const teams = new Set([...use.users, ...this.#waiting.keys()]);
    this.#initialUsage = new Map([...teams].map((team) => [team, use.usage(team)]));
  }

  /**
   * Whether a team uses less than its share. Also answers for teams without waiting work: one that
   * uses nothing is below its share, unless its weight is negligible beside those of the others.
   */
  isBelowShare(team: TeamName): boolean {
    return this.standing(team, NO_RESOURCES) !== 'reached';
  }

  /**
   * How the usage of a team relates to its share, if it starts `task` next. With each start it gets
   * nearer to its share. `worthless`: the share for jobs that have lost their value, for which the
   * useful and the worthless work of all teams compete.
   */
  standing(team: TeamName, task: Resources, worthless = false): ShareStanding {
    const share = this.#share(team, worthless);
    const usage = this.#use.usage(team);
    if (this.#fraction(usage) + ROUNDING_TOLERANCE >= share) {
      return 'reached';
    }
    return this.#fraction(add(usage, task)) <= share + ROUNDING_TOLERANCE ? 'below' : 'in-reach';
  }

  /** Since when a team with useful work lacks some of its share, if it is overdue. */
  overdueSince(team: TeamName): Millis | undefined {
    return this.#use.overdueSince(team);
  }

  /** Whether a team lacks a whole task of its share, or runs nothing although it has one. */
  lacks(team: TeamName, task: Resources): boolean {
    const share = this.#share(team, false);
    const usage = this.#use.usage(team);
    const used = this.#fraction(usage);
    if (share === Infinity || used + ROUNDING_TOLERANCE >= share) {
      return false;
    }
    const idle = used <= ROUNDING_TOLERANCE;
    return idle || this.#fraction(add(usage, task)) <= share + ROUNDING_TOLERANCE;
  }

  /** Whether shares decide nothing, since no more than one team uses or needs anything. */
  get single(): boolean {
    return this.#initialUsage.size <= 1;
  }

  /** The teams whose useful work, as far as their caps allow it, exceeded their share at the round. */
  get contending(): readonly ContendingTeam[] {
    const { byTeam } = this.#levels(false);
    return [...byTeam].flatMap(([team, level]) => {
      const weight = this.#weight(team);
      const share = weight * level;
      const useful = this.#waiting.get(team)?.useful ?? NO_RESOURCES;
      const usage = this.#initialUsage.get(team) ?? NO_RESOURCES;
      const demand = this.#fraction(this.#demand(team, usage, useful));
      return demand > share + ROUNDING_TOLERANCE ? [{ team, weight, share }] : [];
    });
  }

  /** The teams with waiting work that are below their share of useful work as of now. */
  teamsBelow(now: Millis): readonly TeamStanding[] {
    const { byTeam, lowest } = this.#levels(false);
    return [...this.#use.waiting(now)].flatMap(([team, { useful }]) => {
      const used = this.#use.usage(team);
      const demand = this.#fraction(this.#demand(team, used, useful));
      const share = Math.min(demand, this.#weight(team) * (byTeam.get(team) ?? lowest));
      const [usage, waiting] = [this.#fraction(used), this.#fraction(useful)];
      return usage + ROUNDING_TOLERANCE < share ? [{ team, share, usage, waiting }] : [];
    });
  }

  #share(team: TeamName, worthless: boolean): number {
    const { byTeam, lowest } = this.#levels(worthless);
    return this.#weight(team) * (byTeam.get(team) ?? lowest);
  }

  #levels(worthless: boolean): FairLevels {
    return worthless
      ? (this.#allLevels ??= this.#computeLevels(({ useful, worthless: late }) =>
          add(useful, late),
        ))
      : (this.#usefulLevels ??= this.#computeLevels(({ useful }) => useful));
  }

  #computeLevels(counted: (waiting: WaitingWork) => Resources): FairLevels {
    const claims = [...this.#initialUsage].map(([team, usage]) => {
      const waiting = this.#waiting.get(team);
      const pending = waiting === undefined ? NO_RESOURCES : counted(waiting);
      const demand = fractionOf(this.#demand(team, usage, pending), this.#use.capacity);
      return { team, weight: this.#weight(team), demand };
    });
    return fairLevels(claims.filter(({ demand }) => largest(demand) > ROUNDING_TOLERANCE));
  }

  /** What the team uses in the pool, and as much of what waits there as its cap allows. */
  #demand(team: TeamName, usage: Resources, pending: Resources): Resources {
    const policy = this.#use.teams.get(team);
    if (policy === undefined) {
      return add(usage, pending);
    }
    const room = subtract(policy.cap, this.#use.chargedToCap(team));
    return add(usage, scale(pending, startableFraction(pending, room, policy.cap)));
  }

  #fraction(amount: Resources): number {
    return dominantShare(amount, this.#use.capacity);
  }

  #weight(team: TeamName): number {
    return effectiveWeight(this.#use.teams.get(team)?.weight) * WEIGHT_SCALE;
  }
}

/** Fraction of the pending tasks for which there is room under a cap; 0 in a cap is no limit. */
function startableFraction(pending: Resources, room: Resources, cap: Resources): number {
  const fraction = (needed: number, left: number, limit: number): number =>
    limit === 0 || needed <= left ? 1 : Math.max(0, left) / needed;
  return Math.min(
    fraction(pending.processors, room.processors, cap.processors),
    fraction(pending.memoryMb, room.memoryMb, cap.memoryMb),
    fraction(pending.accelerators, room.accelerators, cap.accelerators),
  );
}

/**
 * Raises the dominant shares of all teams in proportion to their weights until a resource is used
 * up. The teams that need it stop there, and the others go on with the rest. Demands are fractions
 * of the capacity.
 */
function fairLevels(claims: readonly Claim[]): FairLevels {
  const byTeam = new Map<TeamName, number>();
  let left: Resources = { processors: 1, memoryMb: 1, accelerators: 1 };
  let growing = claims;
  let lowest = Infinity;
  while (growing.length > 0) {
    const first = firstUsedUp(growing, left);
    if (first === undefined) {
      growing.forEach(({ team }) => byTeam.set(team, Infinity));
      break;
    }
    const { resource, level } = first;
    lowest = Math.min(lowest, level);
    const stopping = growing.filter(({ demand }) => demand[resource] > 0);
    stopping.forEach(({ team }) => byTeam.set(team, level));
    growing = growing.filter(({ demand }) => demand[resource] <= 0);
    if (growing.length > 0) {
      left = stopping.reduce((rest, { weight, demand }) => {
        const given = Math.min(1, (weight * level) / largest(demand));
        return subtract(rest, scale(demand, given));
      }, left);
    }
  }
  return { byTeam, lowest };
}

const RESOURCES = ['processors', 'memoryMb', 'accelerators'] as const;

interface UsedUp {
  readonly resource: keyof Resources;
  readonly level: number;
}

/** The resource that is used up first if all teams grow in proportion; undefined if none is. */
function firstUsedUp(claims: readonly Claim[], left: Resources): UsedUp | undefined {
  const levels = RESOURCES.filter((resource) => {
    const total = claims.reduce((sum, { demand }) => sum + demand[resource], 0);
    return total > left[resource] + ROUNDING_TOLERANCE;
  }).map((resource) => {
    const demands = claims
      .filter(({ demand }) => demand[resource] > 0)
      .map(({ team, weight, demand }) => ({
        team,
        weight: weight * (demand[resource] / largest(demand)),
        demand: demand[resource],
      }));
    return { resource, level: waterFill(Math.max(0, left[resource]), demands).level };
  });
  return levels.reduce<UsedUp | undefined>(
    (first, one) => (first === undefined || one.level < first.level ? one : first),
    undefined,
  );
}
