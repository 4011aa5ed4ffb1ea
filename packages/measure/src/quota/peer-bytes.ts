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
  SHARE_PUBLISH_MS,
  WANT_PUBLISH_MS,
  publishPeriodMs,
  rowsPerMessage,
} from './publication.js';

export const VIEWS = [2, 8, 32, 64] as const;
/** Version of the peer protocol with positional fields. */
export const PEER_PROTOCOL_VERSION = 2;
const ZONES = 8;
const POOLS = 46;
const TEAMS = 300;
export const LIMIT_BYTES = 2_000;
/** IPv4 and TCP headers with time stamps of one segment, and of the acknowledgement of every other. */
export const HEADER_BYTES = 52 * 1.5;

/** Work that waits during a burst: some queues of the fleet, each with some of the teams. */
const BURST_QUEUES = 5;
const BURST_TEAMS = 20;
const EXHAUSTED_TEAMS = 10;

/** Members dealt to the zones of the design size in turn. */
export function view(size: number): readonly PlacedMember[] {
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

const want: Broadcast = {
  type: 'want',
  wants: Array.from({ length: EXHAUSTED_TEAMS }, (_, i) => ({ team: `team-${i}`, units: 3 + i })),
};

interface Sent {
  readonly bytes: number;
  readonly frames: number;
}

function frame(message: PeerMessage, version: number): number {
  return encodeMessage(message, version).unwrap().length;
}

/** What all members together send when each sends `content` once to everyone. */
function broadcastOnce(
  members: readonly PlacedMember[],
  content: Broadcast,
  version: number,
): Sent {
  const zoneOf = new Map(members.map(({ member, zone }) => [member, zone]));
  let bytes = 0;
  let frames = 0;
  for (const self of members) {
    const sparse = !isFullMesh(members.length);
    const message: PeerMessage = sparse
      ? { type: 'relay', origin: self.member, seq: 100_000, content }
      : content;
    const size = frame(message, version);
    const handedOn = new Set<string>();
    for (const near of neighbours(self, members)) {
      frames += 1;
      const zone = zoneOf.get(near) ?? '';
      const relays = sparse && zone !== self.zone && !handedOn.has(near);
      handedOn.add(near);
      const targets = relayTargets({ member: near, zone }, self.zone, members);
      frames += relays ? targets.length : 0;
    }
    bytes = frames * size;
  }
  return { bytes, frames };
}

export interface Row {
  readonly heartbeats: number;
  readonly demand: number;
  readonly wants: number;
  readonly frames: number;
}

/** Bytes and frames that one member sends each second, on the average of all members. */
export function perNode(size: number, version: number, tuned: boolean): Row {
  const members = view(size);
  const links = members.reduce((sum, self) => sum + neighbours(self, members).size, 0) / size;
  const rows = tuned ? rowsPerMessage(size) : BURST_QUEUES * BURST_TEAMS;
  const shareMs = tuned ? publishPeriodMs(size) : SHARE_PUBLISH_MS;
  const wantMs = tuned ? publishPeriodMs(size) : WANT_PUBLISH_MS;
  const beats = (links * 1_000) / HEARTBEAT_MS;
  const sample = members[0] ?? { member: '', zone: '' };
  const rowTraffic = broadcastOnce(members, demand(rows), version);
  const wantTraffic = broadcastOnce(members, want, version);
  return {
    heartbeats: beats * frame(heartbeat(sample), version),
    demand: (rowTraffic.bytes / size) * (1_000 / shareMs),
    wants: (wantTraffic.bytes / size) * (1_000 / wantMs),
    frames:
      beats +
      (rowTraffic.frames / size) * (1_000 / shareMs) +
      (wantTraffic.frames / size) * (1_000 / wantMs),
  };
}
