import type { FaultInjector } from './faults.js';
import {
  jsonResponse,
  startServer,
  type ListenOptions,
  type PlatformServer,
  type Route,
} from './server.js';

const OBJECT_PATH_PREFIX = '/objects/';

export interface ObjectStoreServer extends PlatformServer {
  /** The stored objects, for tests that inspect or corrupt them directly. */
  readonly objects: Map<string, Uint8Array>;
}

function objectName(path: string): string {
  return decodeURIComponent(path.slice(OBJECT_PATH_PREFIX.length));
}

function createRoutes(objects: Map<string, Uint8Array>, faults: FaultInjector): readonly Route[] {
  return [
    {
      method: 'PUT',
      pattern: '/objects/*',
      kind: 'write',
      handle: ({ path, body }) => {
        objects.set(
          objectName(path),
          faults.consume('truncateUploads') ? body.subarray(0, body.length >>> 1) : body,
        );
        return jsonResponse(200, {});
      },
    },
    {
      method: 'DELETE',
      pattern: '/objects/*',
      kind: 'write',
      handle: ({ path }) => jsonResponse(objects.delete(objectName(path)) ? 200 : 404, {}),
    },
    {
      method: 'GET',
      pattern: '/objects/*',
      kind: 'read',
      handle: ({ path }) => {
        const body = objects.get(objectName(path));
        return body === undefined ? jsonResponse(404, {}) : { status: 200, body };
      },
    },
    {
      method: 'GET',
      pattern: '/objects',
      kind: 'read',
      handle: ({ query }) => {
        const prefix = query.prefix ?? '';
        const names = [...objects.keys()].filter((name) => name.startsWith(prefix)).sort();
        return jsonResponse(200, { names });
      },
    },
  ];
}

/** Starts the stand-in for the platform's object store. */
export async function startObjectStore(options: ListenOptions): Promise<ObjectStoreServer> {
  const objects = new Map<string, Uint8Array>();
  const server = await startServer(options, (faults) => createRoutes(objects, faults));
  return { ...server, objects };
}
