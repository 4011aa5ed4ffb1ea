import { sha256Hex, type Entry } from '@turmerichoist/daemon';
import {
  renderSettings,
  startEntry,
  startPlatform,
  startTableService,
  startUpstream,
  type StandInPlatform,
  type TableServiceServer,
  type Upstream,
} from '@turmerichoist/stand-ins';
import { request } from 'undici';
import { HOST, freePort, pause } from './support.js';

export const TOKEN = 'operator-token';
export const KEY = 'key-of-team-a';

/** Polls until the condition is true and returns the elapsed time. Fails after `ms`. */
export async function waitUntil(
  description: string,
  ms: number,
  condition: () => Promise<boolean>,
): Promise<number> {
  const start = performance.now();
  while (performance.now() - start < ms) {
    if (await condition()) {
      return performance.now() - start;
    }
    await pause(20);
  }
  throw new Error(`timed out after ${ms} ms waiting for ${description}`);
}

/** An entry in this process, with its own table service stand-in over shared rows. */
export interface FleetEntry {
  readonly name: string;
  readonly url: string;
  readonly entry: Entry;
  /** Table service stand-in of this entry only, for faults that affect no other entry. */
  readonly table: TableServiceServer;
}

export interface FleetResponse {
  readonly status: number;
  readonly outcome: string;
  readonly text: string;
}

/** Entries, upstreams and platform stand-ins that run in one process and use real sockets. */
export class TestFleet {
  readonly platform: StandInPlatform;
  readonly upstreams: readonly Upstream[];
  readonly entries: FleetEntry[] = [];
  readonly #listedInstances = new Map<string, { address: string; state: 'live' | 'leaving' }>();

  private constructor(platform: StandInPlatform, upstreams: readonly Upstream[]) {
    this.platform = platform;
    this.upstreams = upstreams;
  }

  static async start(entries: number, upstreamCount: number, workMs: number): Promise<TestFleet> {
    const names = Array.from({ length: upstreamCount }, (_, i) => `up-${i}`);
    const upstreams = await Promise.all(
      names.map((name) => startUpstream({ name, host: HOST, port: 0, workMs })),
    );
    const fleet = new TestFleet(await startPlatform(), upstreams);
    for (let i = 0; i < entries; i += 1) {
      await fleet.addEntry(`entry-${i}`);
    }
    await waitUntil('all entries to be ready', 15_000, () =>
      Promise.resolve(fleet.entries.every(({ entry }) => entry.ready)),
    );
    return fleet;
  }

  async addEntry(name: string): Promise<FleetEntry> {
    const table = await startTableService({ host: HOST, port: 0 }, this.platform.table.state);
    const [port, peerPort] = [await freePort(), await freePort()];
    const entryOptions = {
      member: name,
      zone: 'zone-a',
      port,
      peerPort,
      operatorToken: TOKEN,
      drainMs: 50,
    };
    this.addToInstanceList(name, `${HOST}:${peerPort}`, 'live');
    const entry = await startEntry(renderSettings({ ...this.platform, table }, entryOptions));
    const added = { name, url: `http://${HOST}:${port}`, entry, table };
    this.entries.push(added);
    return added;
  }

  /** Adds an instance to the platform's list or replaces it there. */
  addToInstanceList(id: string, address: string, state: 'live' | 'leaving'): void {
    this.#listedInstances.set(id, { address, state });
    this.#publishInstanceList();
  }

  #publishInstanceList(): void {
    const all = [...this.#listedInstances].map(([name, rest]) => ({
      id: name,
      zone: 'zone-a',
      ...rest,
    }));
    this.platform.instances.setInstances(all);
  }

  /** Removes an instance from the platform's list. */
  removeFromInstanceList(id: string): void {
    this.#listedInstances.delete(id);
    this.#publishInstanceList();
  }

  /** One zone, pool and queue, team `a` with the given limit and a key, and all upstreams. */
  documents(limit: number, withdrawn = false): readonly unknown[] {
    const keys = [{ id: 'k', sha256: sha256Hex(KEY), withdrawn }];
    return [
      { kind: 'zone', name: 'zone-a', spec: { region: 'r' } },
      { kind: 'pool', name: 'web', spec: { size: 2, budget: { maxUnavailable: 1 } } },
      { kind: 'queue', name: 'site', spec: { pool: 'web' } },
      { kind: 'team', name: 'a', spec: { share: 1, limit: { requests: limit }, keys } },
      ...this.upstreams.map(({ address }, i) => ({
        kind: 'upstream',
        name: `up-${i}`,
        spec: { pool: 'web', zone: 'zone-a', address },
      })),
    ];
  }

  async apply(target: FleetEntry, documents: readonly unknown[]): Promise<FleetResponse> {
    const res = await request(`${target.url}/api/v1/apply`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' },
      body: JSON.stringify({ documents }),
    });
    return { status: res.statusCode, outcome: '', text: await res.body.text() };
  }

  async call(
    target: FleetEntry,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<FleetResponse> {
    const res = await request(`${target.url}/q/site/x`, {
      method: 'POST',
      headers: { authorization: `Bearer ${KEY}`, ...headers },
      body: 'x',
    });
    const outcome = String(res.headers['x-outcome'] ?? '');
    return { status: res.statusCode, outcome, text: await res.body.text() };
  }

  /** Waits until each entry serves requests of team `a`. */
  async waitUntilServed(): Promise<void> {
    for (const target of this.entries) {
      await waitUntil(
        `a response with status 200 from ${target.name}`,
        15_000,
        async () => (await this.call(target)).status === 200,
      );
    }
  }

  /** Waits until each entry knows that every entry has the configuration in force. */
  async waitUntilConfigInForce(): Promise<void> {
    for (const target of this.entries) {
      await waitUntil(
        `${target.name} to see the configuration in force at all members`,
        15_000,
        () => this.#seesAllInForce(target),
      );
    }
    // The unanimous-outage rule uses the members of the last read, which is repeated every second.
    await pause(1_500);
  }

  async #seesAllInForce(target: FleetEntry): Promise<boolean> {
    const headers = { authorization: `Bearer ${TOKEN}` };
    const res = await request(`${target.url}/api/v1/rollout`, { headers });
    const { members } = (await res.body.json()) as { members: readonly { state: string }[] };
    const inForce = members.filter(({ state }) => state === 'in-force');
    return inForce.length === this.entries.length;
  }

  async close(): Promise<void> {
    await Promise.all(this.entries.map(({ entry }) => entry.abort()));
    await Promise.all(this.entries.map(({ table }) => table.close()));
    await Promise.all([this.platform, ...this.upstreams].map((each) => each.close()));
  }
}
