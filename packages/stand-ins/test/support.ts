import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';

export const HOST = '127.0.0.1';

/** Returns a port of the local host that is free at the moment. */
export async function freePort(): Promise<number> {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}

export async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

/** Polls until `probe` returns a value and fails after `ms`. Errors of `probe` are ignored. */
export async function waitFor<T>(
  description: string,
  ms: number,
  probe: () => Promise<T | undefined>,
): Promise<T> {
  const deadline = performance.now() + ms;
  while (performance.now() < deadline) {
    const found = await probe().catch(() => undefined);
    if (found !== undefined) {
      return found;
    }
    await pause(50);
  }
  throw new Error(`timed out after ${ms} ms waiting for ${description}`);
}
