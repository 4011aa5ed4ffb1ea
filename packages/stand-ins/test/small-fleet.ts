import { sha256Hex, type Entry } from '@turmerichoist/daemon';
import {
  settingsText,
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

/** Polls until the probe is true and returns the time that took; fails after `ms`. */
export async function until(
  what: string,
  ms: number,
  probe: () => Promise<boolean>,
): Promise<number> {
  const start = performance.now();
  while (performance.now() - start < ms) {
    if (await probe()) {
      return performance.now() - start;
    }
    await pause(20);
  }
  throw new Error(`not within ${ms} ms: ${what}`);
}

/** An entry in this process, with a table service of its own that shares the rows of the others. */
export interface FleetEntry {
  readonly name: string;
  readonly url: string;
  readonly entry: Entry;
  /** The way of this entry to the table service, for faults that only it sees. */
  readonly table: TableServiceServer;
}

export interface Answer {
  readonly status: number;
  readonly outcome: string;
  readonly text: string;
}

/** Entries, upstreams and the platform in one process, over real sockets. */
export class SmallFleet {
  readonly platform: StandInPlatform;
  readonly upstreams: readonly Upstream[];
  readonly entries: FleetEntry[] = [];
  readonly #listed = new Map<string, { address: string; state: 'live' | 'leaving' }>();

  private constructor(platform: StandInPlatform, upstreams: readonly Upstream[]) {
    this.platform = platform;
    this.upstreams = upstreams;
  }

  static async start(entries: number, upstreamCount: number, workMs: number): Promise<SmallFleet> {
    const names = Array.from({ length: upstreamCount }, (_, i) => `up-${i}`);
    const upstreams = await Promise.all(
      names.map((name) => startUpstream({ name, host: HOST, port: 0, workMs })),
    );
    const fleet = new SmallFleet(await startPlatform(), upstreams);
    for (let i = 0; i < entries; i += 1) {
      await fleet.addEntry(`entry-${i}`);
    }
    await until('ready entries', 15_000, () =>
      Promise.resolve(fleet.entries.every(({ entry }) => entry.ready)),
    );
    return fleet;
  }

  async addEntry(name: string): Promise<FleetEntry> {
    const table = await startTableService({ host: HOST, port: 0 }, this.platform.table.state);
    const [port, peerPort] = [await freePort(), await freePort()];
    const place = {
      member: name,
      zone: 'zone-a',
      port,
      peerPort,
      operatorToken: TOKEN,
      drainMs: 50,
    };
    this.list(name, `${HOST}:${peerPort}`, 'live');
    const entry = await startEntry(settingsText({ ...this.platform, table }, place));
    const added = { name, url: `http://${HOST}:${port}`, entry, table };
    this.entries.push(added);
    return added;
  }

  /** Puts an instance on the platform's list. */
  list(id: string, address: string, state: 'live' | 'leaving'): void {
    this.#listed.set(id, { address, state });
    this.#publishList();
  }

  #publishList(): void {
    const all = [...this.#listed].map(([name, rest]) => ({ id: name, zone: 'zone-a', ...rest }));
    this.platform.instances.setInstances(all);
  }

  /** Takes an instance off the platform's list. */
  unlist(id: string): void {
    this.#listed.delete(id);
    this.#publishList();
  }

  /** One pool, one queue, and team `a` with the given limit and a key. */
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

  async apply(at: FleetEntry, documents: readonly unknown[]): Promise<Answer> {
    const res = await request(`${at.url}/api/v1/apply`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' },
      body: JSON.stringify({ documents }),
    });
    return { status: res.statusCode, outcome: '', text: await res.body.text() };
  }

  async call(at: FleetEntry, headers: Readonly<Record<string, string>> = {}): Promise<Answer> {
    const res = await request(`${at.url}/q/site/x`, {
      method: 'POST',
      headers: { authorization: `Bearer ${KEY}`, ...headers },
      body: 'x',
    });
    const outcome = String(res.headers['x-outcome'] ?? '');
    return { status: res.statusCode, outcome, text: await res.body.text() };
  }

  /** Waits until work of team `a` is served at each entry. */
  async served(): Promise<void> {
    for (const at of this.entries) {
      await until(`answer at ${at.name}`, 15_000, async () => (await this.call(at)).status === 200);
    }
  }

  /** Waits until each entry has heard from all others that they have the configuration in force. */
  async settled(): Promise<void> {
    for (const at of this.entries) {
      await until(`all members known at ${at.name}`, 15_000, () => this.#knowsAll(at));
    }
    // The members of the last read count for the outage rule, and they are read once a second.
    await pause(1_500);
  }

  async #knowsAll(at: FleetEntry): Promise<boolean> {
    const headers = { authorization: `Bearer ${TOKEN}` };
    const res = await request(`${at.url}/api/v1/rollout`, { headers });
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
