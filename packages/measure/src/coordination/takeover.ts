import { setTimeout as delay } from 'node:timers/promises';
import { OwnershipManager, SessionManager, type OwnershipEvent } from '@turmerichoist/coordination';
import { startCluster, type ClusterMember } from './cluster.js';

/** One role for each of the 46 pools of the design size, and two further ones. */
const ROLES = Array.from({ length: 48 }, (_, index) => `role-${index}`);
const START_LIMIT_MS = 30_000;
const TAKEOVER_LIMIT_MS = 60_000;
const POLL_MS = 20;

export interface TakeoverReport {
  readonly nodes: number;
  readonly roles: number;
  readonly seed: number;
  /** Number of roles that the killed member owned. */
  readonly moved: number;
  /** Time from the kill until the first and the last of them has a new owner, in milliseconds. */
  readonly firstMs: number;
  readonly lastMs: number;
}

function startOwner(member: ClusterMember, owners: Map<string, string>): void {
  const { memberId, store, clock, newId, context } = member;
  const post = (event: OwnershipEvent): boolean => {
    if (event.type === 'owned') {
      owners.set(event.holding.role, memberId);
    }
    return true;
  };
  const manager = new OwnershipManager(
    { memberId, store, clock, newId, listeners: [{ post }] },
    context,
  );
  const session = new SessionManager(
    { memberId, address: '127.0.0.1:0', zone: 'z', store, clock, newId, listeners: [manager] },
    context,
  );
  manager.post({ type: 'roles', roles: ROLES });
  session.start();
  manager.start();
}

async function waitUntil(limitMs: number, check: () => boolean): Promise<void> {
  const end = performance.now() + limitMs;
  while (!check()) {
    if (performance.now() > end) {
      throw new Error(`condition not met within ${limitMs} ms`);
    }
    await delay(POLL_MS);
  }
}

/** Kills the member with the most roles and measures how long its roles have no live owner. */
export async function measureTakeover(count: number, seed: number): Promise<TakeoverReport> {
  const cluster = await startCluster(count, seed);
  const owners = new Map<string, string>();
  cluster.members.forEach((member) => {
    startOwner(member, owners);
  });
  await waitUntil(START_LIMIT_MS, () => owners.size === ROLES.length);
  const rolesOf = (id: string): readonly string[] =>
    [...owners].filter(([, owner]) => owner === id).map(([role]) => role);
  const killed = cluster.members.reduce((a, b) =>
    rolesOf(b.memberId).length > rolesOf(a.memberId).length ? b : a,
  );
  const affectedRoles = rolesOf(killed.memberId);
  const killedAt = performance.now();
  killed.kill();
  const remaining = (): number => rolesOf(killed.memberId).length;
  await waitUntil(TAKEOVER_LIMIT_MS, () => remaining() < affectedRoles.length);
  const firstMs = Math.round(performance.now() - killedAt);
  await waitUntil(TAKEOVER_LIMIT_MS, () => remaining() === 0);
  const lastMs = Math.round(performance.now() - killedAt);
  await cluster.close();
  return { nodes: count, roles: ROLES.length, seed, moved: affectedRoles.length, firstMs, lastMs };
}
