/** Fault switches of a worker stand-in. */
export interface WorkerFaults {
  /** Every task fails as soon as it starts. */
  readonly failAll: boolean;
  /** Delay before each request is handled, in milliseconds. */
  readonly slowMs: number;
  /** Requests are read but neither handled nor answered; what runs goes on. */
  readonly silent: boolean;
  /** Nothing runs and no request is handled until the pause ends; then they all are, in order. */
  readonly paused: boolean;
  /** Requests are handled, and the connection is cut instead of an answer. */
  readonly loseAnswers: boolean;
}

export const NO_FAULTS: WorkerFaults = {
  failAll: false,
  slowMs: 0,
  silent: false,
  paused: false,
  loseAnswers: false,
};

/** Applies the known fields of `raw` that have the right type; the others are ignored. */
export function mergeFaults(faults: WorkerFaults, raw: unknown): WorkerFaults {
  const given = Object.entries((raw ?? {}) as Record<string, unknown>).filter(
    ([name, value]) =>
      name in NO_FAULTS && typeof value === typeof faults[name as keyof WorkerFaults],
  );
  return { ...faults, ...Object.fromEntries(given) };
}
