import {
  HEARTBEAT_MS,
  encodeMessage,
  isFullMesh,
  neighbours,
  relayTargets,
  type Broadcast,
  type Heartbeat,
  type PeerMessage,
  type PlacedMember,
} from '@turmerichoist/coordination';
import {
  DEMAND_PUBLISH_MS,
  UNMET_DEMAND_PUBLISH_MS,
  publishPeriodMs,
  rowsPerMessage,
} from './publication.js';

export const VIEW_SIZES = [2, 8, 32, 64] as const;
/** Version of the peer protocol with positional fields. */
export const PEER_PROTOCOL_VERSION = 2;
const ZONES = 8;
const POOLS = 46;
const TEAMS = 300;
/** Limit on the traffic that one member sends, without TCP and IP headers. */
export const LIMIT_BYTES_PER_S = 2_000;
/**
 * IPv4 and TCP headers with timestamps: 52 bytes for each segment and for the acknowledgement of
 * every second segment.
 */
export const HEADER_BYTES_PER_FRAME = 52 * 1.5;

/** Number of queues with waiting work during a burst, and of teams in each of them. */
const BURST_QUEUES = 5;
const BURST_TEAMS = 20;
/** Number of teams that need more units than they have been granted. */
const EXHAUSTED_TEAMS = 10;

/** Members assigned round-robin to the zones of the design size. */
export function membersOfView(size: number): readonly PlacedMember[] {
  return Array.from({ length: size }, (_, i) => ({
    member: `entry-${String(i).padStart(2, '0')}`,
    zone: `zone-${i % ZONES}`,
  }));
}

function heartbeat({ member }: PlacedMember): Heartbeat {
  return {
    ...{ type: 'heartbeat', member, incarnation: `${member}-0001f3a9` },
    ...{ revision: 214_000, storeReachable: true, storeForMs: 86_400_000, freshMs: 7_480 },
    ...{ stopping: false, sentAt: 1_814_400_000, echo: 1_814_399_210, vouched: [] },
  };
}

function demand(rows: number): Broadcast {
  const all = Array.from({ length: rows }, (_, i) => ({
    queue: `queue-${i % Math.min(POOLS, BURST_QUEUES)}`,
    team: `team-${(i * 7) % TEAMS}`,
    waiting: 5 + (i % 40),
    running: i % 12,
  }));
  return { type: 'demand', rows: all };
}

const unmetDemand: Broadcast = {
  type: 'want',
  wants: Array.from({ length: EXHAUSTED_TEAMS }, (_, i) => ({ team: `team-${i}`, units: 3 + i })),
};

interface SentTraffic {
  readonly bytes: number;
  readonly frames: number;
}

function frameBytes(message: PeerMessage, version: number): number {
  return encodeMessage(message, version).unwrap().length;
}

/** Total traffic when each member broadcasts `content` once, including relayed copies. */
function broadcastTraffic(
  members: readonly PlacedMember[],
  content: Broadcast,
  version: number,
): SentTraffic {
  const zoneOf = new Map(members.map(({ member, zone }) => [member, zone]));
  let bytes = 0;
  let frames = 0;
  for (const self of members) {
    const sparse = !isFullMesh(members.length);
    const message: PeerMessage = sparse
      ? { type: 'relay', origin: self.member, seq: 100_000, content }
      : content;
    const size = frameBytes(message, version);
    for (const neighbour of neighbours(self, members)) {
      frames += 1;
      const zone = zoneOf.get(neighbour) ?? '';
      const relays = sparse && zone !== self.zone;
      const targets = relayTargets({ member: neighbour, zone }, self.zone, members);
      frames += relays ? targets.length : 0;
    }
    bytes = frames * size;
  }
  return { bytes, frames };
}

/** Bytes per second by type of message, and frames per second. */
export interface MemberTraffic {
  readonly heartbeats: number;
  readonly demand: number;
  readonly wants: number;
  readonly frames: number;
}

/** Bytes and frames that one member sends per second, averaged over all members. */
export function trafficPerMember(size: number, version: number, tuned: boolean): MemberTraffic {
  const members = membersOfView(size);
  const links = members.reduce((sum, self) => sum + neighbours(self, members).size, 0) / size;
  const rows = tuned ? rowsPerMessage(size) : BURST_QUEUES * BURST_TEAMS;
  const demandPeriodMs = tuned ? publishPeriodMs(size) : DEMAND_PUBLISH_MS;
  const wantPeriodMs = tuned ? publishPeriodMs(size) : UNMET_DEMAND_PUBLISH_MS;
  const heartbeatsPerS = (links * 1_000) / HEARTBEAT_MS;
  const sample = members[0] ?? { member: '', zone: '' };
  const rowTraffic = broadcastTraffic(members, demand(rows), version);
  const wantTraffic = broadcastTraffic(members, unmetDemand, version);
  return {
    heartbeats: heartbeatsPerS * frameBytes(heartbeat(sample), version),
    demand: (rowTraffic.bytes / size) * (1_000 / demandPeriodMs),
    wants: (wantTraffic.bytes / size) * (1_000 / wantPeriodMs),
    frames:
      heartbeatsPerS +
      (rowTraffic.frames / size) * (1_000 / demandPeriodMs) +
      (wantTraffic.frames / size) * (1_000 / wantPeriodMs),
  };
}
