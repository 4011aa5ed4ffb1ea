import { z } from 'zod';

/** Maximum time that a request may run under a quota grant, in milliseconds. */
export const MAX_WORK_MS = 60_000;

const DEFAULT_DEADLINE_MS = 10_000;
const DEFAULT_BODY_BYTES = 1_048_576;
const MAX_BODY_BYTES = 1_073_741_824;
const DEFAULT_SLOTS = 8;
const DEFAULT_CONNECTIONS = 64;

/** Resource name. The characters are safe in URL paths, storage keys and file names. */
const name = z
  .string()
  .regex(/^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$/, 'lower-case letters, digits, "-" and "."');
const count = z.int().min(0);
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be IP:port');

const teamSpec = z.strictObject({
  /** Weight of the team in fair sharing when capacity is scarce. */
  share: z.number().positive(),
  /** Fleet-wide upper limits. `requests` limits concurrently running requests. */
  limit: z.strictObject({
    requests: count,
    processors: count.default(0),
    memoryMb: count.default(0),
    accelerators: count.default(0),
  }),
  keys: z
    .array(
      z.strictObject({
        id: name,
        /** SHA-256 of the key in lower-case hexadecimal. */
        sha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
        withdrawn: z.boolean().default(false),
      }),
    )
    .default([]),
});

const queueSpec = z.strictObject({
  pool: name,
  /** An open queue accepts requests without a key. */
  open: z.boolean().default(false),
  maxDeadlineMs: z.int().min(1).max(MAX_WORK_MS).default(DEFAULT_DEADLINE_MS),
  maxBodyBytes: z.int().min(0).max(MAX_BODY_BYTES).default(DEFAULT_BODY_BYTES),
});

const poolSpec = z.strictObject({
  /** Declared number of instances. */
  size: count,
  budget: z.strictObject({ maxUnavailable: count }),
  zoneBudgets: z.array(z.strictObject({ zone: name, maxUnavailable: count })).default([]),
  /** A spare pool lends its instances to pools whose demand exceeds their capacity. */
  spare: z.boolean().default(false),
});

const upstreamSpec = z.strictObject({
  pool: name,
  zone: name,
  address,
  slots: z.int().min(1).default(DEFAULT_SLOTS),
  connections: z.int().min(1).default(DEFAULT_CONNECTIONS),
  /** Probe path, which must respond without doing work. Any HTTP status counts as alive. */
  probePath: z.string().startsWith('/').default('/healthz'),
  leaving: z.boolean().default(false),
});

const instanceSpec = z.strictObject({
  pool: name,
  zone: name,
  rack: name,
  address,
  processors: z.int().min(1),
  memoryMb: z.int().min(1),
  accelerators: count.default(0),
  labels: z.record(z.string(), z.string()).default({}),
  /** No new tasks are placed on a cordoned instance. */
  cordoned: z.boolean().default(false),
});

const zoneSpec = z.strictObject({
  region: name,
  state: z.enum(['in', 'out']).default('in'),
});

const planSpec = z.strictObject({
  select: z.strictObject({
    racks: z.array(name).optional(),
    zones: z.array(name).optional(),
    labels: z.record(z.string(), z.string()).optional(),
  }),
  action: z.enum(['reboot']).default('reboot'),
  maxParallel: z.int().min(1).default(1),
  /** Times of day between which waves may start, in minutes after midnight UTC. */
  window: z
    .strictObject({ fromMinute: z.int().min(0).max(1439), toMinute: z.int().min(0).max(1439) })
    .optional(),
  state: z.enum(['running', 'paused', 'aborted']).default('running'),
});

/** Schema of the `spec` field of each resource kind. */
export const SPEC_SCHEMAS = {
  team: teamSpec,
  queue: queueSpec,
  pool: poolSpec,
  upstream: upstreamSpec,
  instance: instanceSpec,
  zone: zoneSpec,
  plan: planSpec,
} as const;

export const nameSchema = name;

export type ResourceKind = keyof typeof SPEC_SCHEMAS;

/** The read-only spec of each kind, with all defaults applied. */
export interface Specs {
  readonly team: DeepReadonly<z.output<typeof teamSpec>>;
  readonly queue: DeepReadonly<z.output<typeof queueSpec>>;
  readonly pool: DeepReadonly<z.output<typeof poolSpec>>;
  readonly upstream: DeepReadonly<z.output<typeof upstreamSpec>>;
  readonly instance: DeepReadonly<z.output<typeof instanceSpec>>;
  readonly zone: DeepReadonly<z.output<typeof zoneSpec>>;
  readonly plan: DeepReadonly<z.output<typeof planSpec>>;
}

export type DeepReadonly<T> = T extends (infer I)[]
  ? readonly DeepReadonly<I>[]
  : T extends object
    ? { readonly [K in keyof T]: DeepReadonly<T[K]> }
    : T;

export type TeamSpec = Specs['team'];
export type QueueSpec = Specs['queue'];
export type PoolSpec = Specs['pool'];
export type UpstreamSpec = Specs['upstream'];
export type InstanceSpec = Specs['instance'];
export type ZoneSpec = Specs['zone'];
export type PlanSpec = Specs['plan'];

export const RESOURCE_KINDS = Object.keys(SPEC_SCHEMAS) as readonly ResourceKind[];
