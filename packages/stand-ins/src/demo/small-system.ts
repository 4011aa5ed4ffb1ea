import { randomUUID } from 'node:crypto';
import { sha256Hex, parseSettings, Entry, type Settings } from '@turmerichoist/daemon';
import { SeededRandom } from '@turmerichoist/core';
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

/** The platform's stand-ins, which run together. */
export interface StandInPlatform {
  readonly table: TableServiceServer;
  readonly objects: PlatformServer;
  readonly instances: InstanceListServer;
  close(): Promise<void>;
}

/** Starts the stand-ins of the platform's services on free ports. */
export async function startPlatform(): Promise<StandInPlatform> {
  const at = { host: HOST, port: 0 };
  const [table, objects, instances] = await Promise.all([
    startTableService(at),
    startObjectStore(at),
    startInstanceList(at),
  ]);
  const close = async (): Promise<void> => {
    await Promise.all([table.close(), objects.close(), instances.close()]);
  };
  return { table, objects, instances, close };
}

export interface EntryPlace {
  readonly member: string;
  readonly zone: string;
  readonly port: number;
  readonly peerPort: number;
  readonly operatorToken: string;
  readonly drainMs?: number;
}

/** The text of a settings file for an entry on this machine. */
export function settingsText(platform: StandInPlatform, place: EntryPlace): string {
  return stringify({
    member: place.member,
    zone: place.zone,
    listen: `${HOST}:${place.port}`,
    peerListen: `${HOST}:${place.peerPort}`,
    platform: {
      table: platform.table.url,
      objects: platform.objects.url,
      instances: platform.instances.url,
    },
    peerSecret: 'secret-of-the-small-system',
    operators: [{ name: 'operator', tokenSha256: sha256Hex(place.operatorToken) }],
    log: { level: 'warn', format: 'pretty' },
    drainMs: place.drainMs ?? 500,
  });
}

/** Starts an entry inside this process. */
export async function startEntry(text: string): Promise<Entry> {
  const settings: Settings = parseSettings(text, 'settings').unwrap();
  const entry = new Entry({
    settings,
    log: createLogger(settings.log).child(settings.member),
    metrics: new NoMetrics(),
    clock: new SystemClock(),
    random: new SeededRandom(settings.member.length + Number(settings.listen.split(':')[1])),
    newId: randomUUID,
  });
  (await entry.start()).unwrap();
  return entry;
}
