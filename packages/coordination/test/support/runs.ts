/** Number of runs of each property test, at least 1,000; TURMERICHOIST_RUNS raises it. */
export const RUNS = Math.max(1_000, Number(process.env.TURMERICHOIST_RUNS ?? 0));
export const SEED = 20_261_204;
