import type { MemberId, Millis, QueueName, TeamName } from '../types/index.js';
import type { DemandRow } from './messages.js';
import type { SlotInterval } from './slot-part.js';
import { type Filled, waterFill } from './water-fill.js';

/** Age at which the demand that another entry sent is dropped. */
export const SHARE_STALE_MS = 3_000;
/**
 * Slots are scarce when the fleet wants this many times as many as there are. At 1, short queues at
 * 0.9 of capacity were enough to keep entries from slots that were free.
 */
const SCARCE_RATIO = 1.5;
/** Keeps weights positive for teams whose demand here is small. */
const MIN_WEIGHT = 1e-6;

type WeightOf = (team: TeamName) => number;
type Totals = ReadonlyMap<TeamName, number>;

/** What the allotment of one queue is computed from. */
export interface ShareInput {
  readonly queue: QueueName;
  /** Demand of this entry. */
  readonly own: readonly DemandRow[];
  /** Configured weight of a team. */
  readonly shareOf: WeightOf;
  /** Slots of the executors of the queue. */
  readonly slots: number;
}

/** What one entry gets of one queue. */
export interface Allotment {
  /** Local weight of each team. */
  readonly weightOf: WeightOf;
  /** Slots of this entry; `undefined` while slots are not scarce. */
  readonly slots: SlotInterval | undefined;
}

interface PeerDemand {
  readonly at: Millis;
  readonly byQueue: ReadonlyMap<QueueName, Totals>;
}

/** Demand over all entries, and what follows from it for this one. */
export class FleetShares {
  readonly #self: MemberId;
  readonly #peers = new Map<MemberId, PeerDemand>();

  constructor(self: MemberId) {
    this.#self = self;
  }

  /** Replaces the rows of another entry. */
  replace(member: MemberId, rows: readonly DemandRow[], now: Millis): void {
    this.#peers.set(member, { at: now, byQueue: totalsByQueue(rows) });
  }

  /**
   * The local weight of a team is its part of the slots over the whole fleet, times the part of its
   * demand that is here. Local weights alone can't make up for an entry that gets too few slots, so
   * while slots are scarce each entry keeps to the slots that its local weights add up to. Without
   * rows of other entries the weights are the configured ones.
   */
  allot(input: ShareInput, now: Millis): Allotment {
    this.#dropStale(now);
    const demands = this.#demands(input);
    if (demands.size < 2 || input.slots === 0) {
      return { weightOf: input.shareOf, slots: undefined };
    }
    const total = sum([...demands.values()]);
    const wants = [...total].map(([team, demand]) => ({
      team,
      demand,
      weight: input.shareOf(team),
    }));
    const filled = waterFill(input.slots, wants);
    const here = demands.get(this.#self) ?? new Map<TeamName, number>();
    return {
      weightOf: (team) => {
        const fair = input.shareOf(team) * filled.level;
        return Math.max(MIN_WEIGHT, localWeight(team, here, total, filled) ?? fair);
      },
      slots: this.#interval(input.slots, demands, total, filled),
    };
  }

  #interval(
    slots: number,
    demands: ReadonlyMap<MemberId, Totals>,
    total: Totals,
    filled: Filled,
  ): SlotInterval | undefined {
    const wanted = [...total.values()].reduce((all, demand) => all + demand, 0);
    if (wanted < SCARCE_RATIO * slots) {
      return undefined;
    }
    let from = 0;
    for (const member of [...demands.keys()].sort()) {
      const part = deserved(demands.get(member) ?? new Map(), total, filled) / slots;
      if (member === this.#self) {
        return { from, to: from + part };
      }
      from += part;
    }
    return undefined;
  }

  /** Demand for the queue of each entry that has any, and of this one. */
  #demands(input: ShareInput): ReadonlyMap<MemberId, Totals> {
    const demands = new Map<MemberId, Totals>();
    demands.set(this.#self, totalsByQueue(input.own).get(input.queue) ?? new Map());
    for (const [member, peer] of this.#peers) {
      const demand = peer.byQueue.get(input.queue);
      if (demand !== undefined) {
        demands.set(member, demand);
      }
    }
    return demands;
  }

  #dropStale(now: Millis): void {
    for (const [member, peer] of this.#peers) {
      if (now - peer.at > SHARE_STALE_MS) {
        this.#peers.delete(member);
      }
    }
  }
}

function localWeight(
  team: TeamName,
  here: Totals,
  total: Totals,
  { shares }: Filled,
): number | undefined {
  const local = here.get(team) ?? 0;
  return local > 0 ? ((shares.get(team) ?? 0) * local) / (total.get(team) ?? local) : undefined;
}

/** Slots that the demand of one entry is worth. */
function deserved(demand: Totals, total: Totals, filled: Filled): number {
  const weights = [...demand.keys()].map((team) => localWeight(team, demand, total, filled) ?? 0);
  return weights.reduce((all, weight) => all + weight, 0);
}

/** Waiting plus running work of each team, grouped once so that each queue finds its own rows. */
function totalsByQueue(rows: readonly DemandRow[]): ReadonlyMap<QueueName, Totals> {
  const queues = new Map<QueueName, Map<TeamName, number>>();
  for (const row of rows) {
    const totals = queues.get(row.queue) ?? new Map<TeamName, number>();
    totals.set(row.team, (totals.get(row.team) ?? 0) + row.waiting + row.running);
    queues.set(row.queue, totals);
  }
  return queues;
}

function sum(parts: readonly Totals[]): Totals {
  const totals = new Map<TeamName, number>();
  for (const [team, demand] of parts.flatMap((part) => [...part])) {
    totals.set(team, (totals.get(team) ?? 0) + demand);
  }
  return totals;
}
