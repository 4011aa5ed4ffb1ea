import { Configuration, parseDocuments } from '@turmerichoist/core';
import type { Resource } from '@turmerichoist/core';

export const POOLS = ['a', 'b', 'spare'] as const;
export const INSTANCES = Array.from({ length: 12 }, (_, index) => `i${String(index + 10)}`);
export const BUDGET = 2;
export const ZONE_BUDGET = 2;

type Document = Readonly<Record<string, unknown>>;

export function instanceDocument(
  index: number,
  pool: string,
  rack: string,
  zone: string,
): Document {
  const address = `10.0.0.${index + 1}:9000`;
  const spec = { pool, zone, rack, address, processors: 32, memoryMb: 1_024 };
  return { kind: 'instance', name: `i${String(index + 10)}`, spec };
}

export function configuration(documents: readonly Document[]): Configuration {
  const parsed = parseDocuments(documents).unwrap();
  return Configuration.of(
    1,
    parsed.map((document) => ({ ...document, version: 1 }) satisfies Resource),
  );
}

/** Two pools and a spare one, in two zones and four racks with one instance of each pool. */
export function smallFleet(): Configuration {
  const zones = ['z1', 'z2'].map((name) => ({ kind: 'zone', name, spec: { region: 'r' } }));
  const pools = POOLS.map((name) => {
    const zoneBudgets = [{ zone: 'z1', maxUnavailable: ZONE_BUDGET }];
    const spec = { size: 4, budget: { maxUnavailable: BUDGET }, spare: name === 'spare' };
    return { kind: 'pool', name, spec: { ...spec, zoneBudgets } };
  });
  const instances = INSTANCES.map((_, index) => {
    const rack = Math.floor(index / 3);
    return instanceDocument(index, POOLS[index % 3] ?? 'a', `r${rack}`, rack < 2 ? 'z1' : 'z2');
  });
  const racks = ['r0', 'r1', 'r2', 'r3'];
  const plans = [
    { kind: 'plan', name: 'racks', spec: { select: { racks }, maxParallel: 2 } },
    { kind: 'plan', name: 'zone', spec: { select: { zones: ['z2'] }, maxParallel: 4 } },
  ];
  return configuration([...zones, ...pools, ...instances, ...plans]);
}
