import { TableState, type Transaction } from '@turmerichoist/coordination';
import {
  jsonResponse,
  startServer,
  type ListenOptions,
  type PlatformServer,
  type Route,
} from './server.js';

const DEFAULT_RANGE_LIMIT = 1_000;

export interface TableServiceServer extends PlatformServer {
  /** The rows, for tests that inspect them directly. */
  readonly state: TableState;
}

function createRoutes(state: TableState): readonly Route[] {
  return [
    {
      method: 'POST',
      pattern: '/v1/txn',
      kind: 'write',
      handle: ({ body }) => {
        const outcome = state.commit(JSON.parse(body.toString()) as Transaction);
        return jsonResponse(outcome.committed ? 200 : 409, outcome);
      },
    },
    {
      method: 'POST',
      pattern: '/v1/read',
      kind: 'read',
      handle: ({ body }) => {
        const { keys } = JSON.parse(body.toString()) as { keys: readonly string[] };
        return jsonResponse(200, { rows: state.read(keys) });
      },
    },
    {
      method: 'GET',
      pattern: '/v1/range',
      kind: 'read',
      handle: ({ query }) => {
        const limit = Number(query.limit ?? DEFAULT_RANGE_LIMIT);
        return jsonResponse(200, {
          rows: state.range(query.prefix ?? '', query.after ?? '', limit),
        });
      },
    },
  ];
}

/** Starts the stand-in for the platform's transactional table service. */
export async function startTableService(
  options: ListenOptions,
  state = new TableState(),
): Promise<TableServiceServer> {
  const server = await startServer(options, () => createRoutes(state));
  return { ...server, state };
}
