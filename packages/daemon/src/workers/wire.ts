import { z } from 'zod';

/** Schemas of the worker's HTTP interface, version 1 (section 5 of the design page). */

const fence = z.object({ epoch: z.int().min(0), sequence: z.int().min(0) });
const resources = z.object({
  processors: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0),
});
const millis = z.number().min(0);

/** The time for which a lease holds, in each order that grants or renews it. */
const leaseTerm = z.object({
  taskId: z.string(),
  fence,
  ttlMs: millis,
  validBeforeMs: millis.optional(),
});

export const leasesBody = z.object({
  leases: z.array(
    leaseTerm.extend({
      incarnation: z.string().optional(),
      command: z.string(),
      resources,
      resume: z.boolean().optional(),
    }),
  ),
});

export const renewBody = z.object({
  epoch: z.int().min(0).optional(),
  leases: z.array(leaseTerm.extend({ throttled: z.boolean().optional() })),
});

export const stopBody = z.object({
  epoch: z.int().min(0).optional(),
  taskId: z.string(),
  fence,
  mode: z.enum(['throttle', 'checkpoint', 'stop']),
});

/** Owner of a pool at one epoch. A worker refuses calls from an earlier epoch of the same role. */
const ownerFence = z.object({ role: z.string(), epoch: z.int().min(0) });

export const cordonBody = z.object({ fence: ownerFence, on: z.boolean() });

export const drainBody = z.object({ fence: ownerFence.optional() });

/** A worker whose incarnation differs from `boot` has already rebooted and refuses the call. */
export const rebootBody = z.object({
  fence: ownerFence.optional(),
  boot: z.int().min(0).optional(),
});

export const resultsBody = z.object({
  results: z.array(
    z.object({
      taskId: z.string(),
      fence,
      reply: z.enum(['accepted', 'stale-fence', 'expired', 'draining', 'busy', 'not-held']),
    }),
  ),
});

export const reportBody = z.object({
  incarnation: z.string(),
  clockMs: z.number(),
  lagMs: millis,
  draining: z.boolean(),
  /** Position of the last entry of `finished`, to be sent as `after` in the next call. */
  cursor: z.int().min(0),
  running: z.array(
    z.object({
      taskId: z.string(),
      fence,
      usage: resources,
      runMs: millis,
      throttled: z.boolean(),
    }),
  ),
  finished: z.array(
    z.object({
      taskId: z.string(),
      fence,
      outcome: z.enum(['succeeded', 'failed', 'checkpointed', 'stopped']),
      peak: resources,
      runMs: millis,
      detail: z.string(),
    }),
  ),
});

export type LeasesBody = Readonly<z.output<typeof leasesBody>>;
export type RenewBody = Readonly<z.output<typeof renewBody>>;
export type StopBody = Readonly<z.output<typeof stopBody>>;
export type ResultsBody = Readonly<z.output<typeof resultsBody>>;
export type ReportBody = Readonly<z.output<typeof reportBody>>;
