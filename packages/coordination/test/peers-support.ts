import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import {
  Ok,
  fail,
  parseEndpoint,
  type AppError,
  type MemberId,
  type Result,
} from '@turmerichoist/core';
import { NoMetrics, SystemClock, silentLogger, type Metrics } from '@turmerichoist/runtime';
import {
  PeerMesh,
  type Broadcast,
  type JsonValue,
  type PeerListener,
  type PeerMember,
  type PeerReport,
} from '@turmerichoist/coordination';

export const SECRET = Buffer.from('a secret of the test deployment');

/** Records the events and metric counts of a mesh. */
export class Recorder implements PeerListener {
  readonly up = new Map<MemberId, boolean>();
  readonly links: string[] = [];
  readonly reports: PeerReport[] = [];
  readonly broadcasts: (readonly [MemberId, Broadcast])[] = [];
  readonly counts = new Map<string, number>();

  readonly metrics: Metrics = Object.assign(new NoMetrics(), {
    count: (name: string, by = 1) => {
      this.counts.set(name, (this.counts.get(name) ?? 0) + by);
    },
  });

  onLink(member: MemberId, incarnation: string, up: boolean): void {
    this.up.set(member, up);
    this.links.push(`${member} ${incarnation} ${up ? 'up' : 'down'}`);
  }

  onReport(report: PeerReport): void {
    this.reports.push(report);
  }

  onBroadcast(from: MemberId, message: Broadcast): void {
    this.broadcasts.push([from, message]);
  }

  async onRequest(
    _from: MemberId,
    topic: string,
    body: JsonValue,
  ): Promise<Result<JsonValue, AppError>> {
    if (topic === 'submit') {
      await new Promise((resolve) => setTimeout(resolve, 500));
    }
    return body === null ? fail('not-owner', 'no') : Ok({ echoed: body });
  }
}

export interface TestMember extends PeerMember {
  readonly mesh: PeerMesh;
  readonly recorder: Recorder;
  readonly stop: () => void;
}

export interface StartOptions {
  readonly secret?: Uint8Array;
  readonly protocolVersion?: number;
  readonly zone?: string;
}

export async function startMember(
  member: MemberId,
  options: StartOptions = {},
): Promise<TestMember> {
  const recorder = new Recorder();
  const stopping = new AbortController();
  const { zone = 'z1', secret = SECRET, ...rest } = options;
  const self = { member, incarnation: `${member}-1`, zone };
  const mesh = new PeerMesh(
    {
      ...{
        self,
        secret,
        ...rest,
        metrics: recorder.metrics,
        listener: recorder,
        clock: new SystemClock(),
      },
      listen: { host: '127.0.0.1', port: 0 },
    },
    { log: silentLogger, signal: stopping.signal },
  );
  const port = (await mesh.start()).unwrap();
  const stop = (): void => {
    stopping.abort();
  };
  return { ...self, address: `127.0.0.1:${port}`, mesh, recorder, stop };
}

/** Gives all members the same view; `at` overrides the addresses of some. */
export function setView(members: readonly TestMember[], at: Record<string, string> = {}): void {
  const view = members.map(({ member, incarnation, zone, address }) => ({
    ...{ member, incarnation, zone },
    address: at[member] ?? address,
  }));
  for (const { mesh } of members) {
    mesh.post({ type: 'members', members: view });
  }
}

export async function waitUntil(condition: () => boolean, withinMs: number): Promise<number> {
  const start = performance.now();
  while (!condition()) {
    if (performance.now() - start > withinMs) {
      throw new Error(`condition not met within ${withinMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return performance.now() - start;
}

/** TCP proxy that can drop all bytes in one or both directions without closing connections. */
export class SilencingProxy {
  readonly #pairs: (readonly [Socket, Socket])[] = [];
  readonly #server = createServer((inbound) => {
    this.#accept(inbound);
  });
  #target = { host: '', port: 0 };

  async start(address: string): Promise<string> {
    this.#target = parseEndpoint(address);
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  get connections(): number {
    return this.#pairs.length;
  }

  #accept(inbound: Socket): void {
    const outbound = connect(this.#target);
    this.#pairs.push([inbound, outbound]);
    for (const [from, to] of [
      [inbound, outbound],
      [outbound, inbound],
    ] as const) {
      from.on('data', (bytes) => to.write(bytes));
      from.on('close', () => to.destroy());
      from.on('error', () => to.destroy());
    }
  }

  /** Drops all further bytes of the open connections, towards the server or in both directions. */
  silence(directions: 'towards-server' | 'both'): void {
    for (const [inbound, outbound] of this.#pairs) {
      inbound.removeAllListeners('data').removeAllListeners('close').resume();
      if (directions === 'both') {
        outbound.removeAllListeners('data').removeAllListeners('close').resume();
      }
    }
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#pairs.flat()) {
      socket.destroy();
    }
  }
}
