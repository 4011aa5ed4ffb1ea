import { Client } from 'undici';
import type { Millis } from '@turmerichoist/core';
import { timeoutSignal } from '@turmerichoist/runtime';
import type { UpstreamTarget } from './messages.js';

const PROBE_TIMEOUT_MS: Millis = 1_000;

/** Whether an upstream responds, with any status, on a connection opened for the probe. */
export async function probe(target: UpstreamTarget, signal: AbortSignal): Promise<boolean> {
  const client = new Client(`http://${target.address}`, {
    connect: { timeout: PROBE_TIMEOUT_MS },
  });
  try {
    const limit = timeoutSignal(signal, PROBE_TIMEOUT_MS);
    const res = await client.request({ method: 'GET', path: target.probePath, signal: limit });
    await res.body.dump();
    return true;
  } catch {
    return false;
  } finally {
    await client.destroy();
  }
}
