/** Faults that a worker stand-in injects. */
export interface WorkerFaults {
  /** Every task fails as soon as it starts. */
  readonly failAll: boolean;
  /** Delay before each request is handled, in milliseconds. */
  readonly slowMs: number;
  /** Requests are read but neither handled nor answered. Running tasks continue. */
  readonly silent: boolean;
  /** Tasks make no progress, and requests wait until the pause ends and are handled then. */
  readonly paused: boolean;
  /** Requests are handled, and the connection is closed without a response. */
  readonly loseAnswers: boolean;
}

export const NO_WORKER_FAULTS: WorkerFaults = {
  failAll: false,
  slowMs: 0,
  silent: false,
  paused: false,
  loseAnswers: false,
};

/** Applies the known fields of `raw` that have the right type and ignores the others. */
export function mergeFaults(faults: WorkerFaults, raw: unknown): WorkerFaults {
  const validFields = Object.entries((raw ?? {}) as Record<string, unknown>).filter(
    ([name, value]) =>
      name in NO_WORKER_FAULTS && typeof value === typeof faults[name as keyof WorkerFaults],
  );
  return { ...faults, ...Object.fromEntries(validFields) };
}
