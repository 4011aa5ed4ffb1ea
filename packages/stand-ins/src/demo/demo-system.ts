import { randomUUID } from 'node:crypto';
import { sha256Hex, parseSettings, Entry, type Settings } from '@turmerichoist/daemon';
import { parseEndpoint, SeededRandom } from '@turmerichoist/core';
import { createLogger, NoMetrics, SystemClock } from '@turmerichoist/runtime';
import { stringify } from 'yaml';
import {
  startInstanceList,
  startObjectStore,
  startTableService,
  type InstanceListServer,
  type PlatformServer,
  type TableServiceServer,
} from '../platform/index.js';

const HOST = '127.0.0.1';

/** The running stand-ins for all services of the platform. */
export interface StandInPlatform {
  readonly table: TableServiceServer;
  readonly objects: PlatformServer;
  readonly instances: InstanceListServer;
  close(): Promise<void>;
}

/** Starts the stand-ins for the platform's services on free ports. */
export async function startPlatform(): Promise<StandInPlatform> {
  const listenOptions = { host: HOST, port: 0 };
  const [table, objects, instances] = await Promise.all([
    startTableService(listenOptions),
    startObjectStore(listenOptions),
    startInstanceList(listenOptions),
  ]);
  const close = async (): Promise<void> => {
    await Promise.all([table.close(), objects.close(), instances.close()]);
  };
  return { table, objects, instances, close };
}

export interface EntryOptions {
  readonly member: string;
  readonly zone: string;
  readonly port: number;
  readonly peerPort: number;
  readonly operatorToken: string;
  readonly drainMs?: number;
}

/** Renders the settings file of an entry on the local host. */
export function renderSettings(platform: StandInPlatform, options: EntryOptions): string {
  return stringify({
    member: options.member,
    zone: options.zone,
    listen: `${HOST}:${options.port}`,
    peerListen: `${HOST}:${options.peerPort}`,
    platform: {
      table: platform.table.url,
      objects: platform.objects.url,
      instances: platform.instances.url,
    },
    peerSecret: 'secret-of-the-small-system',
    operators: [{ name: 'operator', tokenSha256: sha256Hex(options.operatorToken) }],
    log: { level: 'warn', format: 'pretty' },
    drainMs: options.drainMs ?? 500,
  });
}

/** Starts an entry in this process from the text of its settings file. */
export async function startEntry(text: string): Promise<Entry> {
  const settings: Settings = parseSettings(text, 'settings').unwrap();
  const entry = new Entry({
    settings,
    log: createLogger(settings.log).child(settings.member),
    metrics: new NoMetrics(),
    clock: new SystemClock(),
    random: new SeededRandom(settings.member.length + parseEndpoint(settings.listen).port),
    newId: randomUUID,
  });
  (await entry.start()).unwrap();
  return entry;
}
