import { once } from 'node:events';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TableState, Transaction } from '../../src/store/index.js';

/** `lossy`: carries out what it gets, and answers nothing. */
export type StoreMode = 'answers' | 'busy' | 'many' | 'reset' | 'silent' | 'lossy';

const REFUSALS: Partial<Record<StoreMode, number>> = { busy: 503, many: 429 };

/** Table service as one member sees it; the rows are shared with those of other members. */
export class MemberStore {
  mode: StoreMode = 'answers';
  /** Calls that have arrived, in any mode. */
  calls = 0;
  readonly #state: TableState;
  readonly #server = createServer((req, res) => void this.#serve(req, res));

  constructor(state: TableState) {
    this.#state = state;
  }

  async listen(): Promise<string> {
    this.#server.listen(0, '127.0.0.1');
    await once(this.#server, 'listening');
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    this.calls += 1;
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
      chunks.push(chunk as Buffer);
    }
    const refusal = REFUSALS[this.mode];
    if (this.mode === 'silent') {
      return;
    }
    if (this.mode === 'reset') {
      req.socket.resetAndDestroy();
    } else if (refusal !== undefined) {
      res.writeHead(refusal).end();
    } else {
      const body = this.#handle(new URL(req.url ?? '', 'http://store'), Buffer.concat(chunks));
      if (this.mode === 'answers') {
        res.writeHead(body.committed === false ? 409 : 200).end(JSON.stringify(body));
      }
    }
  }

  #handle({ pathname, searchParams }: URL, body: Buffer): { readonly committed?: boolean } {
    switch (pathname) {
      case '/v1/txn':
        return this.#state.commit(JSON.parse(body.toString()) as Transaction);
      case '/v1/read': {
        const { keys } = JSON.parse(body.toString()) as { readonly keys: readonly string[] };
        return { rows: this.#state.read(keys) } as object;
      }
      default: {
        const prefix = searchParams.get('prefix') ?? '';
        const limit = Number(searchParams.get('limit'));
        return { rows: this.#state.range(prefix, '', limit) } as object;
      }
    }
  }
}
