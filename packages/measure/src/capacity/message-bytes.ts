import { encodeMessage, neighbours, type PeerMessage } from '@turmerichoist/coordination';
import {
  HEADER_BYTES_PER_FRAME,
  PEER_PROTOCOL_VERSION,
  membersOfView,
} from '../quota/peer-bytes.js';

/** Freshness pings to each other member of the view, per second. */
const PINGS_PER_S = 1;

function frameBytes(message: PeerMessage): number {
  return encodeMessage(message, PEER_PROTOCOL_VERSION).unwrap().length;
}

export interface FreshnessBytes {
  readonly ping: number;
  readonly pong: number;
  /** Bytes that one member sends per second if it pings every other member. */
  readonly allPerS: number;
  /** The same if it pings only the members that it has a link to. */
  readonly linkedPerS: number;
  /** `linkedPerS` with TCP and IP headers. */
  readonly linkedWithHeadersPerS: number;
}

/** Measures the freshness pings that one member sends and answers, in addition to heartbeats. */
export function measureFreshness(members: number): FreshnessBytes {
  const ping = frameBytes({
    ...{ type: 'request', id: 100_000, topic: 'freshness', body: { nonce: 100_000 } },
  });
  const report = {
    ...{ incarnation: 'entry-00-0001f3a9', revision: 214_000, confirmedAgeMs: 480 },
    ...{ storeDown: false, changePending: false },
  };
  const pong = frameBytes({ type: 'response', id: 100_000, ok: true, body: report });
  const view = membersOfView(members);
  const links = view.reduce((sum, self) => sum + neighbours(self, view).size, 0) / members;
  const pair = (ping + pong) * PINGS_PER_S;
  return {
    ...{ ping, pong },
    allPerS: (members - 1) * pair,
    linkedPerS: links * pair,
    linkedWithHeadersPerS: links * (pair + 2 * HEADER_BYTES_PER_FRAME * PINGS_PER_S),
  };
}

/** Size in bytes of the body of a worker's report with `running` tasks. */
export function measureReport(running: number): number {
  const usage = { processors: 2.35, memoryMb: 4_211.5, accelerators: 0 };
  const tasks = Array.from({ length: running }, (_, i) => ({
    taskId: `entry-00-0001f3a9-${100_000 + i}`,
    fence: { epoch: 12, sequence: 100_000 + i },
    ...{ usage, runMs: 12_345, throttled: false },
  }));
  const head = { incarnation: 'w000-0001f3a9', clockMs: 1_814_400_000, lagMs: 0, draining: false };
  return JSON.stringify({ ...head, cursor: 100_000, running: tasks, finished: [] }).length;
}
