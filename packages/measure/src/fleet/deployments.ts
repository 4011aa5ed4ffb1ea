import { Configuration, parseDocuments, type Resource } from '@turmerichoist/core';

/** Size of a simulated fleet of instances. */
export interface Deployment {
  readonly name: string;
  readonly workers: number;
  readonly pools: number;
  readonly zones: number;
  readonly processors: number;
}

export const DEPLOYMENTS: Readonly<Record<string, Deployment>> = {
  consortium: { name: 'consortium', workers: 35, pools: 6, zones: 3, processors: 32 },
  nadroga: { name: 'nadroga', workers: 35, pools: 6, zones: 3, processors: 64 },
};

const RACK_SIZE = 4;
/** Fraction of a pool that may be unavailable at once. */
const BUDGET_FRACTION = 1 / 3;

export type Document = Readonly<Record<string, unknown>>;

export function poolName(index: number): string {
  return `p${String(index).padStart(2, '0')}`;
}

export function rackCount(deployment: Deployment): number {
  return Math.ceil(deployment.workers / RACK_SIZE);
}

/**
 * Instances are assigned round-robin to pools and in groups of four to racks; racks are assigned
 * round-robin to zones.
 */
export function configurationOf(
  deployment: Deployment,
  plans: readonly Document[] = [],
): Configuration {
  const { workers, pools, zones } = deployment;
  const zoneDocuments = Array.from({ length: zones }, (_, index) => {
    return { kind: 'zone', name: `z${index}`, spec: { region: 'r0' } };
  });
  const poolDocuments = Array.from({ length: pools }, (_, index) => {
    const size = Math.floor((workers - index + pools - 1) / pools);
    const maxUnavailable = Math.max(1, Math.round(size * BUDGET_FRACTION));
    const spec = { size, budget: { maxUnavailable }, spare: index === pools - 1 };
    return { kind: 'pool', name: poolName(index), spec };
  });
  const instances = Array.from({ length: workers }, (_, index) => {
    return instanceDocument(index, deployment);
  });
  const documents = [...zoneDocuments, ...poolDocuments, ...instances, ...plans];
  const parsed = parseDocuments(documents).unwrap();
  return Configuration.of(
    1,
    parsed.map((document): Resource => ({ ...document, version: 1 })),
  );
}

function instanceDocument(index: number, { pools, zones, processors }: Deployment): Document {
  const rack = Math.floor(index / RACK_SIZE);
  const spec = {
    pool: poolName(index % pools),
    zone: `z${rack % zones}`,
    rack: `r${rack}`,
    address: `10.0.${Math.floor(index / 250)}.${(index % 250) + 1}:9000`,
    processors,
    memoryMb: 131_072,
  };
  return { kind: 'instance', name: `i${String(index).padStart(4, '0')}`, spec };
}
