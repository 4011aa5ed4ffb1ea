import { Configuration, type Resource, type Resources, type TeamName } from '@turmerichoist/core';

/** Size of a simulated fleet of workers, from section 1.4 of the design page. */
export interface Deployment {
  readonly name: string;
  readonly workers: number;
  readonly processors: number;
  readonly memoryMb: number;
  readonly accelerators: number;
  readonly zones: number;
  readonly teams: number;
}

export const POOL = 'workers';

const MEMORY_MB = 128_000;

export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'consortium',
    workers: 35,
    processors: 32,
    memoryMb: MEMORY_MB,
    accelerators: 0,
    zones: 3,
    teams: 6,
  },
  {
    name: 'nadroga',
    workers: 35,
    processors: 64,
    memoryMb: MEMORY_MB,
    accelerators: 0,
    zones: 3,
    teams: 6,
  },
  {
    name: 'full',
    workers: 740,
    processors: 64,
    memoryMb: MEMORY_MB,
    accelerators: 1_700,
    zones: 8,
    teams: 300,
  },
];

const UNLIMITED: Resources = { processors: 1e6, memoryMb: 1e9, accelerators: 1e5 };
/** Number of accelerators of a worker that has accelerators. */
const ACCELERATORS_PER_WORKER = 8;

export function teamName(i: number): TeamName {
  return `team-${i}`;
}

/** Weight of team `i`. A few teams are large: of six, one has weight 4, two have 2 and three 1. */
export function weightOf(i: number): number {
  return i % 6 === 0 ? 4 : i % 6 < 3 ? 2 : 1;
}

export function configurationOf(deployment: Deployment): Configuration {
  const { workers, processors, memoryMb, zones, teams } = deployment;
  const acceleratedWorkers = Math.ceil(deployment.accelerators / ACCELERATORS_PER_WORKER);
  const resources: Resource[] = [];
  for (let zone = 0; zone < zones; zone += 1) {
    const spec = { region: 'r1', state: 'in' as const };
    resources.push({ kind: 'zone', name: `z${zone}`, version: 1, spec });
  }
  for (let i = 0; i < workers; i += 1) {
    const spec = {
      pool: POOL,
      zone: `z${i % zones}`,
      rack: `rack-${Math.floor(i / 4)}`,
      address: '127.0.0.1:1',
      processors,
      memoryMb,
      accelerators: i < acceleratedWorkers ? ACCELERATORS_PER_WORKER : 0,
      labels: {},
      cordoned: false,
    };
    resources.push({ kind: 'instance', name: `w${i}`, version: 1, spec });
  }
  for (let i = 0; i < teams; i += 1) {
    const limit = { requests: 0, ...UNLIMITED };
    const spec = { share: weightOf(i), limit, keys: [] };
    resources.push({ kind: 'team', name: teamName(i), version: 1, spec });
  }
  return Configuration.of(1, resources);
}

export function allowancesOf(deployment: Deployment): ReadonlyMap<TeamName, Resources> {
  const names = Array.from({ length: deployment.teams }, (_, i) => teamName(i));
  return new Map(names.map((name) => [name, UNLIMITED]));
}
