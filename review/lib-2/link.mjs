/** A TCP proxy in front of one stand-in, which can go silent and can refuse. */
import { createServer, connect } from 'node:net';

export class Link {
  #target;
  #server;
  #port;
  #pairs = new Set();
  #silent = false;

  constructor(target) {
    this.#target = target;
  }

  get address() {
    return `127.0.0.1:${this.#port}`;
  }

  /** Listens, on the same port each time. */
  async open() {
    this.#server = createServer((client) => {
      this.#accept(client);
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#port ?? 0, '127.0.0.1', resolve);
    });
    this.#port = this.#server.address().port;
  }

  /** Ends all connections and refuses new ones, as a process that has crashed does. */
  close() {
    this.#server.close();
    for (const { client, upstream } of this.#pairs) {
      client.destroy();
      upstream.destroy();
    }
    this.#pairs.clear();
  }

  /** Passes nothing on in either direction. Bytes that wait are passed on afterwards. */
  silence() {
    this.#silent = true;
    for (const { client, upstream } of this.#pairs) {
      client.pause();
      upstream.pause();
    }
  }

  restore() {
    this.#silent = false;
    for (const { client, upstream } of this.#pairs) {
      client.resume();
      upstream.resume();
    }
  }

  #accept(client) {
    const upstream = connect(this.#target.port, this.#target.host);
    const pair = { client, upstream };
    this.#pairs.add(pair);
    const end = () => {
      this.#pairs.delete(pair);
      client.destroy();
      upstream.destroy();
    };
    for (const [from, to] of [
      [client, upstream],
      [upstream, client],
    ]) {
      from.setNoDelay(true);
      from.on('data', (bytes) => to.write(bytes));
      from.on('end', () => to.end());
      from.on('error', end);
      from.on('close', end);
    }
    if (this.#silent) {
      client.pause();
      upstream.pause();
    }
  }
}
