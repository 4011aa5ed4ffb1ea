import type { FaultSwitches } from './faults.js';
import {
  json,
  startServer,
  type ListenOptions,
  type PlatformServer,
  type Route,
} from './server.js';

const PREFIX = '/objects/';

export interface ObjectStoreServer extends PlatformServer {
  /** The stored objects, for tests that look at them or damage them without a call. */
  readonly objects: Map<string, Uint8Array>;
}

function nameOf(path: string): string {
  return decodeURIComponent(path.slice(PREFIX.length));
}

function routes(objects: Map<string, Uint8Array>, faults: FaultSwitches): readonly Route[] {
  return [
    {
      method: 'PUT',
      pattern: '/objects/*',
      kind: 'write',
      handle: ({ path, body }) => {
        objects.set(
          nameOf(path),
          faults.take('truncateUploads') ? body.subarray(0, body.length >>> 1) : body,
        );
        return json(200, {});
      },
    },
    {
      method: 'DELETE',
      pattern: '/objects/*',
      kind: 'write',
      handle: ({ path }) => json(objects.delete(nameOf(path)) ? 200 : 404, {}),
    },
    {
      method: 'GET',
      pattern: '/objects/*',
      kind: 'read',
      handle: ({ path }) => {
        const body = objects.get(nameOf(path));
        return body === undefined ? json(404, {}) : { status: 200, body };
      },
    },
    {
      method: 'GET',
      pattern: '/objects',
      kind: 'read',
      handle: ({ query }) => {
        const prefix = query.prefix ?? '';
        const names = [...objects.keys()].filter((name) => name.startsWith(prefix)).sort();
        return json(200, { names });
      },
    },
  ];
}

/** Starts the stand-in of the platform's object store. */
export async function startObjectStore(options: ListenOptions): Promise<ObjectStoreServer> {
  const objects = new Map<string, Uint8Array>();
  const server = await startServer(options, (faults) => routes(objects, faults));
  return { ...server, objects };
}
