import type { MemberId, Millis, QueueName, TeamName } from '../types/index.js';
import type { DemandRow } from './messages.js';
import type { SlotInterval } from './slot-interval.js';
import { type WaterFillResult, waterFill } from './water-fill.js';

/** Time after which the demand received from another entry expires. */
export const PEER_DEMAND_TTL_MS = 3_000;
/**
 * Slots are scarce when the demand of the fleet is at least this multiple of them. At a ratio of 1,
 * short queues at 90% of capacity were enough to keep entries from using free slots.
 */
const SCARCITY_RATIO = 1.5;
/** Lower bound that keeps weights positive for teams with little demand at this entry. */
const MIN_WEIGHT = 1e-6;

type WeightOf = (team: TeamName) => number;
type DemandByTeam = ReadonlyMap<TeamName, number>;

/** Input for the allocation of one queue. */
export interface AllocationInput {
  readonly queue: QueueName;
  /** Demand of this entry. */
  readonly ownDemand: readonly DemandRow[];
  /** Configured weight of a team. */
  readonly shareOf: WeightOf;
  /** Total slots of the executors of the queue. */
  readonly slots: number;
}

/** Weights and slots of one queue at this entry. */
export interface Allocation {
  /** Local weight of each team. */
  readonly weightOf: WeightOf;
  /** Slots that this entry may use; `undefined` while slots are not scarce. */
  readonly slotInterval: SlotInterval | undefined;
}

interface PeerDemand {
  readonly receivedAt: Millis;
  readonly byQueue: ReadonlyMap<QueueName, DemandByTeam>;
}

/** Computes the weights and slots of this entry from the demand of all entries. */
export class FleetAllocator {
  readonly #self: MemberId;
  readonly #peerDemand = new Map<MemberId, PeerDemand>();

  constructor(self: MemberId) {
    this.#self = self;
  }

  /** Replaces the demand of another entry. */
  setPeerDemand(member: MemberId, rows: readonly DemandRow[], now: Millis): void {
    this.#peerDemand.set(member, { receivedAt: now, byQueue: demandByQueue(rows) });
  }

  /**
   * The local weight of a team is its fair share of the slots of the fleet times the fraction of
   * its demand that is at this entry. Local weights cannot compensate for an entry that gets too
   * few slots, so while slots are scarce each entry is limited to the sum of its local weights.
   * Without demand from other entries, the configured weights are used.
   */
  allocate(input: AllocationInput, now: Millis): Allocation {
    this.#dropExpiredDemand(now);
    const demands = this.#demandByMember(input);
    if (demands.size < 2 || input.slots === 0) {
      return { weightOf: input.shareOf, slotInterval: undefined };
    }
    const total = sumDemand([...demands.values()]);
    const demandsByTeam = [...total].map(([team, demand]) => ({
      team,
      demand,
      weight: input.shareOf(team),
    }));
    const fairShares = waterFill(input.slots, demandsByTeam);
    const localDemand = demands.get(this.#self) ?? new Map<TeamName, number>();
    return {
      weightOf: (team) => {
        const fair = input.shareOf(team) * fairShares.level;
        return Math.max(MIN_WEIGHT, localWeight(team, localDemand, total, fairShares) ?? fair);
      },
      slotInterval: this.#slotInterval(input.slots, demands, total, fairShares),
    };
  }

  #slotInterval(
    slots: number,
    demands: ReadonlyMap<MemberId, DemandByTeam>,
    total: DemandByTeam,
    fairShares: WaterFillResult,
  ): SlotInterval | undefined {
    const totalDemand = [...total.values()].reduce((all, demand) => all + demand, 0);
    if (totalDemand < SCARCITY_RATIO * slots) {
      return undefined;
    }
    let from = 0;
    for (const member of [...demands.keys()].sort()) {
      const fraction = fairSlots(demands.get(member) ?? new Map(), total, fairShares) / slots;
      if (member === this.#self) {
        return { from, to: from + fraction };
      }
      from += fraction;
    }
    return undefined;
  }

  /** Demand for the queue at each entry that has any, and at this entry. */
  #demandByMember(input: AllocationInput): ReadonlyMap<MemberId, DemandByTeam> {
    const demands = new Map<MemberId, DemandByTeam>();
    demands.set(this.#self, demandByQueue(input.ownDemand).get(input.queue) ?? new Map());
    for (const [member, peer] of this.#peerDemand) {
      const demand = peer.byQueue.get(input.queue);
      if (demand !== undefined) {
        demands.set(member, demand);
      }
    }
    return demands;
  }

  #dropExpiredDemand(now: Millis): void {
    for (const [member, peer] of this.#peerDemand) {
      if (now - peer.receivedAt > PEER_DEMAND_TTL_MS) {
        this.#peerDemand.delete(member);
      }
    }
  }
}

function localWeight(
  team: TeamName,
  localDemand: DemandByTeam,
  total: DemandByTeam,
  { shares }: WaterFillResult,
): number | undefined {
  const local = localDemand.get(team) ?? 0;
  return local > 0 ? ((shares.get(team) ?? 0) * local) / (total.get(team) ?? local) : undefined;
}

/** Fair number of slots for the demand of one entry. */
function fairSlots(demand: DemandByTeam, total: DemandByTeam, fairShares: WaterFillResult): number {
  const weights = [...demand.keys()].map(
    (team) => localWeight(team, demand, total, fairShares) ?? 0,
  );
  return weights.reduce((all, weight) => all + weight, 0);
}

/**
 * Waiting plus running requests of each team, grouped by queue so that rows are scanned only once.
 */
function demandByQueue(rows: readonly DemandRow[]): ReadonlyMap<QueueName, DemandByTeam> {
  const queues = new Map<QueueName, Map<TeamName, number>>();
  for (const row of rows) {
    const totals = queues.get(row.queue) ?? new Map<TeamName, number>();
    totals.set(row.team, (totals.get(row.team) ?? 0) + row.waiting + row.running);
    queues.set(row.queue, totals);
  }
  return queues;
}

function sumDemand(parts: readonly DemandByTeam[]): DemandByTeam {
  const totals = new Map<TeamName, number>();
  for (const [team, demand] of parts.flatMap((part) => [...part])) {
    totals.set(team, (totals.get(team) ?? 0) + demand);
  }
  return totals;
}
