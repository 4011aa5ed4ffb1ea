import { parseEndpoint } from '@turmerichoist/core';
import { z } from 'zod';

const DEFAULT_DRAIN_MS = 2_000;
const DEFAULT_STOP_MS = 30_000;
const DEFAULT_MAX_WAITING = 10_000;
const MIN_MEMORY_MB = 128;
const DEFAULT_MEMORY_MB = 256;
const MIN_FILE_DESCRIPTORS = 512;
const DEFAULT_FILE_DESCRIPTORS = 4_096;
const MIN_SECRET_LENGTH = 16;

const address = z
  .string()
  .regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'must be IP:port')
  .refine((text) => parseEndpoint(text).port <= 65_535, 'the port must be at most 65535');
const url = z.url({ protocol: /^http$/ });
const name = z
  .string()
  .regex(/^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$/, 'lower-case letters, digits and "-"');
const sha256 = z.string().regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits');

/** Schema of the settings file of `turmerichoistd`. */
export const settingsSchema = z.strictObject({
  member: name.describe('Identity of this entry; unique among all entries.'),
  zone: name.describe('Availability zone of this entry.'),
  listen: address.describe('IP:port for callers and operators.'),
  peerListen: address.describe('IP:port for other entries.'),
  platform: z
    .strictObject({
      table: url.describe('Base URL of the table service.'),
      objects: url.describe('Base URL of the object store.'),
      instances: url.describe('Base URL of the instance list.'),
    })
    .describe('The services of the platform.'),
  peerSecret: z
    .string()
    .min(MIN_SECRET_LENGTH)
    .describe('Shared secret of all entries, at least 16 characters.'),
  operators: z
    .array(
      z.strictObject({
        name: name.describe('Name that the audit trail shows.'),
        tokenSha256: sha256.describe('SHA-256 of the operator token in lower-case hexadecimal.'),
      }),
    )
    .min(1)
    .describe('Who may use the operator API.'),
  log: z
    .strictObject({
      level: z
        .enum(['debug', 'info', 'warn', 'error'])
        .default('info')
        .describe('Least level that is written.'),
      format: z.enum(['json', 'pretty']).default('json').describe('Form of a log line.'),
    })
    .prefault({})
    .describe('Logs, written to standard error.'),
  metrics: z
    .strictObject({
      address: address.describe('IP:port of a StatsD agent.'),
      prefix: z.string().default('turmerichoist.').describe('Put before each metric name.'),
    })
    .optional()
    .describe('Metrics by StatsD over UDP; off when absent.'),
  drainMs: z
    .int()
    .min(0)
    .max(600_000)
    .default(DEFAULT_DRAIN_MS)
    .describe('Milliseconds between readiness off and closing the listener on a planned stop.'),
  stopMs: z
    .int()
    .min(1)
    .max(3_600_000)
    .default(DEFAULT_STOP_MS)
    .describe('Milliseconds after which a planned stop no longer waits for open requests.'),
  maxWaiting: z
    .int()
    .min(1)
    .max(1_000_000)
    .default(DEFAULT_MAX_WAITING)
    .describe('Requests that may be open at this entry at once.'),
  limits: z
    .strictObject({
      memoryMb: z
        .int()
        .min(MIN_MEMORY_MB)
        .max(1_048_576)
        .default(DEFAULT_MEMORY_MB)
        .describe('Megabytes of memory that the process may use.'),
      fileDescriptors: z
        .int()
        .min(MIN_FILE_DESCRIPTORS)
        .max(1_048_576)
        .default(DEFAULT_FILE_DESCRIPTORS)
        .describe('Descriptors that the process may open.'),
    })
    .prefault({})
    .describe('Limits of the process, from which those of its listeners are derived.'),
  traceFile: z
    .string()
    .optional()
    .describe(
      'File to which arrivals and operator acts are recorded as JSON lines; off when absent.',
    ),
});

type Mutable = z.output<typeof settingsSchema>;

/** The settings of a daemon with all defaults applied. */
export type Settings = Readonly<Omit<Mutable, 'operators' | 'platform' | 'log' | 'limits'>> & {
  readonly operators: readonly Readonly<Mutable['operators'][number]>[];
  readonly platform: Readonly<Mutable['platform']>;
  readonly log: Readonly<Mutable['log']>;
  readonly limits: Readonly<Mutable['limits']>;
};
