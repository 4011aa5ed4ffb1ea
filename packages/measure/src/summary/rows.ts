import { FixedBuffer, RecentDemand } from '@turmerichoist/core';
import { DEPLOYMENTS as FLEET_DEPLOYMENTS, configurationOf } from '../fleet/deployments.js';
import { rackOutcomes } from '../fleet/plans.js';
import { runPlanner } from '../fleet/pools.js';
import { MEASURED_ZONE, runZones } from '../fleet/zones.js';
import { measureShares as measureRequestShares } from '../requests/shares.js';
import { DEPLOYMENTS as TASK_DEPLOYMENTS } from '../tasks/deployments.js';
import { measureShares } from '../tasks/shares.js';
import { measureUrgent } from '../tasks/urgent.js';
import { generateTrace } from '../traces/generate.js';
import { replay } from '../traces/replay.js';

const TRACE_MS = 180_000;
const TARGET_URGENT_MS = 1_200;

/** One measured value next to a reference value. */
export interface SummaryRow {
  readonly measure: string;
  readonly unit: string;
  readonly value: number;
  /** The simplest scheme, or the stated bound if no other scheme is measured. */
  readonly reference: string;
  readonly referenceValue: number;
}

type RowCells = readonly [string, string, number, string, number];

function toSummaryRow([measure, unit, value, reference, referenceValue]: RowCells): SummaryRow {
  return { measure, unit, value, reference, referenceValue };
}

function fleetRows(name: string, seed: number): readonly RowCells[] {
  const fleet = FLEET_DEPLOYMENTS[name];
  if (fleet === undefined) {
    return [];
  }
  const pools = runPlanner(fleet, seed, new RecentDemand());
  const fixedBuffer = runPlanner(fleet, seed, new FixedBuffer(1));
  const { planner, sequential } = rackOutcomes(fleet, seed, true);
  const { phases, largestStep } = runZones(fleet);
  const instances = configurationOf(fleet).list('instance');
  const zoneSize = instances.filter(({ spec }) => spec.zone === MEASURED_ZONE).length;
  const schedulable = phases.reduce((sum, phase) => sum + phase.schedulableMinutes, 0);
  const allowed = phases.reduce((sum, phase) => sum + phase.allowedMinutes, 0);
  const buffer = 'fixed buffer of 1';
  return [
    ['buffer cost', 'instance-h', pools.idleBorrowedHours, buffer, fixedBuffer.idleBorrowedHours],
    ['unmet demand', 'instance-h', pools.unmetHours, buffer, fixedBuffer.unmetHours],
    ['moves', '', pools.moves, buffer, fixedBuffer.moves],
    ['rollout time', 'min', planner.minutes, 'one rack at a time', sequential.minutes],
    ['rollout time', 'min', planner.minutes, 'lower bound', planner.boundMinutes],
    ['work while a zone leaves and returns', 'instance-min', schedulable, 'allowed', allowed],
    ['largest step of a returning zone', 'instances', largestStep, 'all at once', zoneSize],
  ];
}

function taskRows(name: string, seed: number): readonly RowCells[] {
  const deployment = TASK_DEPLOYMENTS.find((each) => each.name === name);
  if (deployment === undefined) {
    return [];
  }
  const { decider, firstCome } = measureShares(deployment, seed);
  const { p50, p99 } = measureUrgent(deployment, seed);
  const { broken } = replay(generateTrace(deployment, seed, TRACE_MS), deployment);
  return [
    ['worst distance from the share', '', decider.worst, 'first come', firstCome.worst],
    ['mean distance from the share', '', decider.mean, 'first come', firstCome.mean],
    ['urgent start p50', 'ms', p50, 'target', TARGET_URGENT_MS],
    ['urgent start p99', 'ms', p99, 'target', TARGET_URGENT_MS],
    ...Object.entries(broken).map(([invariant, count]): RowCells => [
      `broken: ${invariant}`,
      '',
      count,
      'bound',
      0,
    ]),
  ];
}

function requestRows(seed: number): readonly RowCells[] {
  const rows = measureRequestShares(seed);
  const local = rows.find(({ weights }) => weights === 'local')?.spreadShare ?? 0;
  const fleet = rows.find(({ weights }) => weights === 'fleet')?.spreadShare ?? 0;
  const name = 'request share of a team on all entries';
  return [[name, 'fair is 0.5', fleet, 'weights of each entry', local]];
}

/** All rows of one deployment. The same seed gives the same rows. */
export function summaryRows(deployment: string, seed: number): readonly SummaryRow[] {
  const cells = [
    ...fleetRows(deployment, seed),
    ...taskRows(deployment, seed),
    ...requestRows(seed),
  ];
  return cells.map(toSummaryRow);
}
