import { once } from 'node:events';
import { createServer, type Server } from 'node:net';

const HOST = '127.0.0.1';
const FIRST_PORT = 10_000;
/** The first port that Linux gives to connections and to listeners that ask for any port. */
const END_PORT = 32_768;
const BLOCK_SIZE = 16;
const BLOCKS = Math.floor((END_PORT - FIRST_PORT) / BLOCK_SIZE);

/** Listens on the port. Returns nothing when it is in use. */
async function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  try {
    server.listen(port, HOST);
    await once(server, 'listening');
    return server;
  } catch {
    return undefined;
  }
}

async function closeServer(server: Server): Promise<void> {
  server.close();
  await once(server, 'close');
}

/**
 * Ports of the local host for processes that must know their ports before they listen. A port that
 * was free when a socket asked the system for any port may belong to a connection by the time a
 * process listens on it. These ports lie below the range that the system gives out, in blocks of
 * 16 whose first port is held by the process that uses the block.
 */
export class ReservedPorts {
  readonly #held: Server[] = [];
  #next = 0;
  #end = 0;

  /** Returns a port that is free and that no other `ReservedPorts` of this host returns. */
  async next(): Promise<number> {
    for (;;) {
      if (this.#next === this.#end) {
        await this.#reserveBlock();
      }
      const port = this.#next;
      this.#next += 1;
      const server = await tryListen(port);
      if (server !== undefined) {
        await closeServer(server);
        return port;
      }
    }
  }

  /** Gives up the blocks. */
  async close(): Promise<void> {
    await Promise.all(this.#held.splice(0).map(closeServer));
    this.#next = this.#end;
  }

  async #reserveBlock(): Promise<void> {
    const start = Math.floor(Math.random() * BLOCKS);
    for (let i = 0; i < BLOCKS; i += 1) {
      const first = FIRST_PORT + ((start + i) % BLOCKS) * BLOCK_SIZE;
      const server = await tryListen(first);
      if (server !== undefined) {
        this.#held.push(server.unref());
        this.#next = first + 1;
        this.#end = first + BLOCK_SIZE;
        return;
      }
    }
    throw new Error(`no ports from ${FIRST_PORT} to ${END_PORT - 1} are free`);
  }
}
