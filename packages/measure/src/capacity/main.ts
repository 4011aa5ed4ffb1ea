import { parseArgs } from 'node:util';
import { DEPLOYMENTS as FLEET_DEPLOYMENTS } from '../fleet/deployments.js';
import { timeRounds } from '../fleet/planning-time.js';
import { renderTable, type Cell } from '../fleet/table.js';
import {
  LIMIT_BYTES_PER_S,
  PEER_PROTOCOL_VERSION,
  VIEW_SIZES,
  trafficPerMember,
} from '../quota/peer-bytes.js';
import { timeRequests } from '../requests/decision-time.js';
import { timeDecisions } from '../tasks/decision-time.js';
import { DEPLOYMENTS as TASK_DEPLOYMENTS, type Deployment } from '../tasks/deployments.js';
import { measureApply, measureGrantRound } from './coordination-costs.js';
import { fitLine } from './fit.js';
import { measureFreshness, measureReport } from './message-bytes.js';
import { cpuMillis, usedHeapMb } from './probes.js';

const WORKER_COUNTS = [35, 100, 200, 400, 740] as const;
const TEAM_COUNTS = [6, 50, 100, 300] as const;
const RESOURCE_COUNTS = [200, 500, 1_000, 2_000] as const;
/** Number of teams while the number of workers varies, and the reverse. */
const FIXED_TEAMS = 50;
const FIXED_WORKERS = 100;
/** Ratio of pools to workers at the design size. */
const POOLS_PER_WORKER = 46 / 740;
const LARGE_FLEET = 100;
/** Numbers of tasks that run on one worker. */
const RUNNING_COUNTS = [0, 10, 20, 40] as const;

type MeasuredValues = Readonly<Record<string, number>>;

/** Prints the values of one measure by size, and a fitted line for each column. */
function printMeasure(
  title: string,
  unit: string,
  sizes: readonly number[],
  run: (n: number) => MeasuredValues,
): void {
  const measured = sizes.map((size) => ({ size, values: run(size) }));
  const names = Object.keys(measured[0]?.values ?? {});
  const rows = measured.map(({ size, values }): readonly Cell[] => [
    size,
    ...names.map((name) => (values[name] ?? 0).toFixed(3)),
  ]);
  const fits = names.map((name) => {
    const points = measured.map(({ size, values }) => ({ size, value: values[name] ?? 0 }));
    const { intercept, slope, r2 } = fitLine(points);
    return [name, intercept.toFixed(3), slope.toExponential(2), r2.toFixed(3)];
  });
  const points = renderTable([unit, ...names], rows);
  const lines = renderTable(['line', 'base', `per ${unit}`, 'r2'], fits);
  process.stdout.write(`## ${title}\n\n${points}\n${lines}\n`);
}

function taskCost(base: Deployment, workers: number, teams: number, seed: number): MeasuredValues {
  const zones = workers > LARGE_FLEET ? 8 : 3;
  const before = usedHeapMb();
  let heapMb = 0;
  const cost = timeDecisions({ ...base, workers, teams, zones }, seed, cpuMillis, () => {
    heapMb = usedHeapMb() - before;
  });
  const starts = cost.starts;
  return { 'us/start': cost.microsPerStart, starts, core: cost.core, 'heap MB': heapMb };
}

function planningCost(workers: number): MeasuredValues {
  const fleet = FLEET_DEPLOYMENTS.nadroga;
  if (fleet === undefined) {
    throw new Error('deployment "nadroga" is not defined');
  }
  const pools = Math.max(2, Math.round(workers * POOLS_PER_WORKER));
  const before = usedHeapMb();
  let heapMb = 0;
  const { medianMs, maxMs } = timeRounds({ ...fleet, workers, pools }, () => {
    heapMb = usedHeapMb() - before;
  });
  return { 'median ms': medianMs, 'max ms': maxMs, 'heap MB': heapMb };
}

function requestCost(teams: number, seed: number): MeasuredValues {
  const { meanUs, p50Us, p99Us } = timeRequests(teams, seed);
  return { 'mean us': meanUs, 'p50 us': p50Us, 'p99 us': p99Us };
}

function applyCost(resources: number): MeasuredValues {
  const { applyMs, snapshotMs, snapshotBytes, heapMb } = measureApply(resources);
  const snapshotKb = snapshotBytes / 1_024;
  const loaded = { 'snapshot ms': snapshotMs, 'snapshot KB': snapshotKb };
  return { 'apply ms': applyMs, ...loaded, 'heap MB': heapMb };
}

function grantCost(teams: number, seed: number): MeasuredValues {
  const { roundMs, commitsPerRound, heapMb } = measureGrantRound(teams, seed);
  return { 'round ms': roundMs, 'txn/round': commitsPerRound, 'heap MB': heapMb };
}

function peerCost(members: number): MeasuredValues {
  const { heartbeats, demand, wants, frames } = trafficPerMember(
    members,
    PEER_PROTOCOL_VERSION,
    true,
  );
  const sum = heartbeats + demand + wants;
  const part = sum / LIMIT_BYTES_PER_S;
  return { 'heartbeats B/s': heartbeats, 'sum B/s': sum, 'of limit': part, 'frames/s': frames };
}

function freshnessCost(members: number): MeasuredValues {
  const { allPerS, linkedPerS, linkedWithHeadersPerS } = measureFreshness(members);
  const linked = { 'linked B/s': linkedPerS, 'with headers': linkedWithHeadersPerS };
  return { 'all B/s': allPerS, ...linked };
}

function measureAll(seed: number): void {
  const base = TASK_DEPLOYMENTS.find(({ name }) => name === 'nadroga');
  if (base === undefined) {
    throw new Error('deployment "nadroga" is not defined');
  }
  // Warm-up: the first measurement would otherwise include JIT compilation of the decision code.
  taskCost(base, FIXED_WORKERS, FIXED_TEAMS, seed);
  printMeasure(`task decisions, ${FIXED_TEAMS} teams`, 'workers', WORKER_COUNTS, (workers) =>
    taskCost(base, workers, FIXED_TEAMS, seed),
  );
  printMeasure(`task decisions, ${FIXED_WORKERS} workers`, 'teams', TEAM_COUNTS, (teams) =>
    taskCost(base, FIXED_WORKERS, teams, seed),
  );
  printMeasure('planning round', 'workers', WORKER_COUNTS, planningCost);
  printMeasure('request decision', 'teams', TEAM_COUNTS, (teams) => requestCost(teams, seed));
  printMeasure('configuration', 'resources', RESOURCE_COUNTS, applyCost);
  printMeasure('quota round', 'teams', TEAM_COUNTS, (teams) => grantCost(teams, seed));
  printMeasure('peer traffic in a burst', 'members', VIEW_SIZES, peerCost);
  printMeasure('freshness pings', 'members', VIEW_SIZES, freshnessCost);
  printMeasure('worker report', 'tasks', RUNNING_COUNTS, (n) => ({ bytes: measureReport(n) }));
}

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' } } });
measureAll(Number(values.seed));
