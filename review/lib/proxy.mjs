// A TCP proxy on loopback whose open connections can go silent while new ones work.
import { connect, createServer } from 'node:net';

export class Proxy {
  #server;
  #pairs = new Set();

  async listen(host, port, target) {
    const [targetHost, targetPort] = target.split(':');
    this.#server = createServer((client) => {
      const server = connect({ host: targetHost, port: Number(targetPort) });
      const pair = { client, server };
      this.#pairs.add(pair);
      client.pipe(server);
      server.pipe(client);
      const end = () => {
        this.#pairs.delete(pair);
        client.destroy();
        server.destroy();
      };
      for (const socket of [client, server]) {
        socket.on('error', () => undefined);
        socket.on('close', () => !pair.silent && end());
      }
      pair.end = end;
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    return `${host}:${port}`;
  }

  /** What is sent over the open connections gets lost from now on, without a reset. */
  silence() {
    for (const pair of this.#pairs) {
      pair.silent = true;
      pair.client.unpipe(pair.server);
      pair.server.unpipe(pair.client);
      pair.client.resume();
      pair.server.resume();
    }
  }

  close() {
    this.#server.close();
    this.#pairs.forEach(({ end }) => end());
  }
}
