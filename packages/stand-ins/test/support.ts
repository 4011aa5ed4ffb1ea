import { ReservedPorts } from '@turmerichoist/stand-ins';

export const HOST = '127.0.0.1';

const reservedPorts = new ReservedPorts();

/** Returns a port of the local host that stays free until the test listens on it. */
export function freePort(): Promise<number> {
  return reservedPorts.next();
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
