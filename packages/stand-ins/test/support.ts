import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';

export const HOST = '127.0.0.1';

/** A port of this machine that nothing listens on now. */
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

/** Polls until the probe finds something; fails after `ms`. A probe that throws found nothing. */
export async function until<T>(
  what: string,
  ms: number,
  probe: () => Promise<T | undefined>,
): Promise<T> {
  const end = performance.now() + ms;
  while (performance.now() < end) {
    const found = await probe().catch(() => undefined);
    if (found !== undefined) {
      return found;
    }
    await pause(50);
  }
  throw new Error(`no ${what} within ${ms} ms`);
}
