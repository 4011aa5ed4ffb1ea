import { setTimeout as delay } from 'node:timers/promises';
import { OwnershipKeeper, SessionKeeper, type OwnershipEvent } from '@turmerichoist/coordination';
import { startCluster, type Node } from './cluster.js';

/** The pools of the design size and two further roles. */
const ROLES = Array.from({ length: 48 }, (_, index) => `role-${index}`);
const START_LIMIT_MS = 30_000;
const TAKEOVER_LIMIT_MS = 60_000;
const LOOK_MS = 20;

export interface TakeoverReport {
  readonly nodes: number;
  readonly roles: number;
  readonly seed: number;
  /** Roles that the dead node had held. */
  readonly moved: number;
  /** Time from the death until the first and the last of them has a new owner, in milliseconds. */
  readonly firstMs: number;
  readonly lastMs: number;
}

function startOwner(node: Node, owners: Map<string, string>): void {
  const { memberId, store, clock, newId, context } = node;
  const post = (event: OwnershipEvent): boolean => {
    if (event.type === 'owned') {
      owners.set(event.holding.role, memberId);
    }
    return true;
  };
  const keeper = new OwnershipKeeper(
    { memberId, store, clock, newId, listeners: [{ post }] },
    context,
  );
  const session = new SessionKeeper(
    { memberId, address: '127.0.0.1:0', zone: 'z', store, clock, newId, listeners: [keeper] },
    context,
  );
  keeper.post({ type: 'roles', roles: ROLES });
  session.start();
  keeper.start();
}

async function until(limitMs: number, check: () => boolean): Promise<void> {
  const end = performance.now() + limitMs;
  while (!check()) {
    if (performance.now() > end) {
      throw new Error(`not reached within ${limitMs} ms`);
    }
    await delay(LOOK_MS);
  }
}

/** Kills the node with most roles and measures how long its roles stay without an owner. */
export async function measureTakeover(count: number, seed: number): Promise<TakeoverReport> {
  const cluster = await startCluster(count, seed);
  const owners = new Map<string, string>();
  cluster.nodes.forEach((node) => {
    startOwner(node, owners);
  });
  await until(START_LIMIT_MS, () => owners.size === ROLES.length);
  const rolesOf = (id: string): readonly string[] =>
    [...owners].filter(([, owner]) => owner === id).map(([role]) => role);
  const victim = cluster.nodes.reduce((a, b) =>
    rolesOf(b.memberId).length > rolesOf(a.memberId).length ? b : a,
  );
  const moving = rolesOf(victim.memberId);
  const diedAt = performance.now();
  victim.kill();
  const left = (): number => rolesOf(victim.memberId).length;
  await until(TAKEOVER_LIMIT_MS, () => left() < moving.length);
  const firstMs = Math.round(performance.now() - diedAt);
  await until(TAKEOVER_LIMIT_MS, () => left() === 0);
  const lastMs = Math.round(performance.now() - diedAt);
  await cluster.close();
  return { nodes: count, roles: ROLES.length, seed, moved: moving.length, firstMs, lastMs };
}
