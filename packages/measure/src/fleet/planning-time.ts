import { FixedBuffer, FleetDecider, FleetSimulation } from '@turmerichoist/core';
import { configurationOf, rackCount, type Deployment } from './deployments.js';
import { renderTable, type Cell } from './table.js';

const SIZES: readonly (readonly [number, number])[] = [
  [35, 6],
  [100, 10],
  [185, 15],
  [370, 25],
  [740, 46],
];
const WARM_UP_MS = 120_000;
const MEASURED_ROUNDS = 300;
const TICK_MS = 1_000;
const REBOOT_CYCLE_MS = 21 * 24 * 3_600_000;
const NANOS_PER_MS = 1e6;

/** Measures a planning round with a plan over all racks and the reboot cycle in progress. */
export function measurePlanningTime(base: Deployment): string {
  const measured = SIZES.map(([workers, pools]) => {
    return { workers, pools, ...timeRounds({ ...base, workers, pools }) };
  });
  const rows = measured.map(({ workers, pools, medianMs, maxMs }): readonly Cell[] => {
    return [workers, pools, medianMs.toFixed(3), maxMs.toFixed(3)];
  });
  const first = measured[0];
  const last = measured.at(-1);
  const slope =
    first === undefined || last === undefined
      ? 0
      : (1_000 * (last.medianMs - first.medianMs)) / (last.workers - first.workers);
  const table = renderTable(['workers', 'pools', 'median ms', 'max ms'], rows);
  return `${table}slope ${slope.toFixed(2)} us per worker\n`;
}

/** Measures one size. `onMeasured` is called before the decider and its state are released. */
export function timeRounds(
  deployment: Deployment,
  onMeasured: (simulation: FleetSimulation) => void = () => undefined,
): { readonly medianMs: number; readonly maxMs: number } {
  const racks = Array.from({ length: rackCount(deployment) }, (_, index) => `r${index}`);
  const plan = { kind: 'plan', name: 'p', spec: { select: { racks }, maxParallel: racks.length } };
  const decider = new FleetDecider({ poolPlanner: new FixedBuffer(0), cycleMs: REBOOT_CYCLE_MS });
  const simulation = new FleetSimulation({
    cfg: configurationOf(deployment, [plan]),
    decider,
    drainMs: 60_000,
    rebootMs: 3_600_000,
    tickMs: TICK_MS,
    commitMs: 10,
    startWallMs: 0,
  });
  simulation.start();
  simulation.run(WARM_UP_MS);
  const times: number[] = [];
  for (let round = 1; round <= MEASURED_ROUNDS; round += 1) {
    const now = simulation.now + round * TICK_MS;
    const from = process.hrtime.bigint();
    decider.handle({ type: 'tick', wallMs: now }, now);
    times.push(Number(process.hrtime.bigint() - from) / NANOS_PER_MS);
  }
  onMeasured(simulation);
  times.sort((a, b) => a - b);
  return { medianMs: times[Math.floor(times.length / 2)] ?? 0, maxMs: times.at(-1) ?? 0 };
}
