import { Cloud } from './cloud.mjs';
import { HOLD_MAX_MS } from './case.mjs';
import { Executor } from './executor.mjs';

export const HOST = 'site.example';
export const SERVICE = 'pool';

/** A manifest with one queue and one key for each tenant, all of one service. */
export function manifest(tenants, change = {}) {
  return {
    version: 1,
    routes: tenants.map((name) => ({
      name: `queue-${name}`,
      host: HOST,
      pathPrefix: `/${name}/`,
      service: SERVICE,
      priority: 0,
      maxAttempts: 3,
      slackFactor: 4,
      targetLatencyMs: 60_000,
      timeoutMs: 3_000,
      ...change.routes,
    })),
    services: [{ name: SERVICE, admissionCheck: true, ...change.services }],
    tenants: tenants.map((name) => ({
      name,
      apiKeys: [`key-${name}`],
      weight: 1,
      cap: { cpu: 0, memMb: 0, gpu: 0 },
      ...change.tenants,
    })),
    limits: {},
  };
}

/**
 * Starts the stand-ins and `memberCount` processes. `executors`: options of each executor, with `id`,
 * `zone` and `labels`; each has a machine of the same name with `m-` before it.
 */
export async function startInstallation(one, options) {
  const { executors: described, memberCount = 2, tenants, manifestChange, onUpkeep } = options;
  const cloud = new Cloud({
    record: one.record,
    onUpkeep: (machine, wave) => onUpkeep?.(machine, wave),
  });
  await cloud.listen('127.0.0.1');
  one.onEnd(() => cloud.server.close());
  one.store.put('op', 'config', manifest(tenants, manifestChange));
  const executors = [];
  for (const [index, described_] of described.entries()) {
    const executor = new Executor({
      host: `127.0.1.${index + 1}`,
      service: SERVICE,
      zone: 'zone-a',
      labels: ['kind-a', 'rack-1'],
      capacity: { cpu: 32_000, memMb: 128_000, gpu: 0 },
      holdMaxMs: HOLD_MAX_MS,
      startupMs: 500,
      guarded: true,
      store: one.store,
      record: one.record,
      needOf: () => ({ cpu: 1_000 }),
      durationOf: () => 300,
      ...options.executorDefaults,
      ...described_,
    });
    one.onEnd(() => executor.close());
    await executor.start();
    executors.push(executor);
    const { service, zone, labels, capacity, id } = executor.options;
    cloud.machines.push({
      machine: `m-${id}`,
      pool: service,
      state: 'up',
      zone,
      labels,
      capacity,
      id,
    });
  }
  const members = [];
  for (let index = 0; index < memberCount; index += 1) {
    members.push(await one.startMember(`entry-${index + 1}`, `127.0.0.${index + 2}`, cloud));
  }
  await one.awaitReady(members);
  return { cloud, executors, members };
}

let lastId = 0;

/** A new id of a job: 16 hexadecimal digits. */
export function newId(prefix = 'ab') {
  lastId += 1;
  return prefix + lastId.toString(16).padStart(16 - prefix.length, '0');
}
