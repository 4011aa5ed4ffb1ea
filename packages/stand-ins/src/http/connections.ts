import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** The open connections of a server, any of which can be made silent. */
export class Connections {
  readonly #sockets = new Set<Socket>();
  readonly #silentSockets = new WeakSet<Socket>();

  /** Tracks every connection that the server accepts from now on. */
  track(server: Server): void {
    server.on('connection', (socket: Socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  /** Makes the connections that are open now silent. They stay open, and new ones work. */
  silence(): void {
    for (const socket of this.#sockets) {
      this.#silentSockets.add(socket);
    }
  }

  /** Whether requests on this connection are ignored and get no response. */
  isSilent(socket: Socket): boolean {
    return this.#silentSockets.has(socket);
  }

  /** Destroys all connections and closes the server. */
  async close(server: Server): Promise<void> {
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
      for (const socket of this.#sockets) {
        socket.destroy();
      }
    });
  }
}
