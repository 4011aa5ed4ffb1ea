import {
  Configuration,
  type Resource,
  type Resources,
  type TaskSpec,
  type TeamName,
  type WorkClass,
} from '@turmerichoist/core';

export const POOL = 'workers';

export interface WorkerShape {
  readonly name: string;
  readonly zone: string;
  readonly processors?: number;
  readonly memoryMb?: number;
  readonly accelerators?: number;
  readonly cordoned?: boolean;
  readonly labels?: Readonly<Record<string, string>>;
}

export interface TeamShape {
  readonly name: TeamName;
  readonly share?: number;
  readonly limit?: Partial<Resources>;
}

const LARGE: Resources = { processors: 100_000, memoryMb: 100_000_000, accelerators: 10_000 };

/** Configuration of one pool and its teams. */
export function configOf(
  workers: readonly WorkerShape[],
  teams: readonly TeamShape[],
  zonesOut: readonly string[] = [],
): Configuration {
  const zones = [...new Set(workers.map(({ zone }) => zone))];
  const resources: Resource[] = [
    ...zones.map((name) => ({
      kind: 'zone' as const,
      name,
      version: 1,
      spec: { region: 'r1', state: zonesOut.includes(name) ? ('out' as const) : ('in' as const) },
    })),
    ...workers.map(({ name, zone, ...shape }) => ({
      kind: 'instance' as const,
      name,
      version: 1,
      spec: {
        pool: POOL,
        zone,
        rack: 'rack',
        address: '127.0.0.1:1',
        processors: shape.processors ?? 8,
        memoryMb: shape.memoryMb ?? 8_000,
        accelerators: shape.accelerators ?? 0,
        labels: shape.labels ?? {},
        cordoned: shape.cordoned ?? false,
      },
    })),
    ...teams.map(({ name, share, limit }) => ({
      kind: 'team' as const,
      name,
      version: 1,
      spec: { share: share ?? 1, limit: { requests: 10, ...LARGE, ...limit }, keys: [] },
    })),
  ];
  return Configuration.of(1, resources);
}

let nextId = 0;

export interface TaskShape {
  readonly id?: string;
  readonly team?: TeamName;
  readonly workClass?: WorkClass;
  readonly idempotent?: boolean;
  readonly command?: string;
  readonly zones?: readonly string[];
  readonly labels?: Readonly<Record<string, string>>;
}

/** Creates a task; the defaults are one processor and 100 MB. */
export function taskOf(shape: TaskShape & Partial<Resources> = {}): TaskSpec {
  nextId += 1;
  const { zones, labels } = shape;
  return {
    id: shape.id ?? `task-${nextId}`,
    team: shape.team ?? 'a',
    workClass: shape.workClass ?? 'normal',
    resources: {
      processors: shape.processors ?? 1,
      memoryMb: shape.memoryMb ?? 100,
      accelerators: shape.accelerators ?? 0,
    },
    constraints: {
      ...(zones === undefined ? {} : { zones }),
      ...(labels === undefined ? {} : { labels }),
    },
    idempotent: shape.idempotent ?? true,
    command: shape.command ?? 'run ms=1000',
  };
}

export const NO_LIMIT: Resources = LARGE;
