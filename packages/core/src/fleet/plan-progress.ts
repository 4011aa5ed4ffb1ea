import type { PlanDefinition } from './plan-definition.js';
import { poolsOf } from './plan-groups.js';
import type { RoundContext } from './round-context.js';
import type { PlanRow, RemainingInstance } from './rows.js';

/** Failed instances of the affected pools beyond those at the start of the wave that stop a plan. */
const FAILURE_RISE_MIN = 2;
/** The same as a part of the affected pools, for large plans. */
const FAILURE_RISE_PART = 0.05;

/** Boots are counted from 1, so this stands for an instance that no report has shown yet. */
const UNKNOWN_BOOT = 0;

/** The plan's row at its start. */
export function firstRow(definition: PlanDefinition, context: RoundContext): PlanRow {
  const remaining = definition.instances.map(({ name }) => {
    return { instance: name, boot: context.view.boot(name) ?? UNKNOWN_BOOT };
  });
  return {
    role: context.role,
    selection: definition.selection,
    declaredVersion: definition.declaredVersion,
    remaining,
    total: remaining.length,
    wave: 0,
    failuresAtWave: failuresOf(definition, context),
    startedWallMs: context.wallMs,
  };
}

/** The row brought up to date with the declaration and with what has rebooted. */
export function refreshedRow(
  row: PlanRow,
  definition: PlanDefinition,
  context: RoundContext,
): PlanRow {
  if (row.selection !== definition.selection || isCycleOver(row, definition, context)) {
    return { ...firstRow(definition, context), startedWallMs: nextStart(row, definition, context) };
  }
  const known = withFirstBoots(row, context);
  const remaining = known.remaining.filter((each) => isLeft(each, context));
  const pruned = remaining.length < known.remaining.length ? { ...known, remaining } : known;
  if (row.declaredVersion === definition.declaredVersion) {
    return pruned;
  }
  const failuresAtWave = failuresOf(definition, context);
  return { ...pruned, declaredVersion: definition.declaredVersion, failuresAtWave };
}

/** Cycles follow each other without a gap, so that a late cycle doesn't shift the later ones. */
function nextStart(row: PlanRow, definition: PlanDefinition, context: RoundContext): number {
  const { cycleMs } = definition;
  const isSame = row.selection === definition.selection;
  return isSame && cycleMs !== undefined
    ? Math.max(row.startedWallMs + cycleMs, context.wallMs - cycleMs)
    : context.wallMs;
}

function isCycleOver(row: PlanRow, definition: PlanDefinition, context: RoundContext): boolean {
  const { cycleMs } = definition;
  const isDue = cycleMs !== undefined && context.wallMs >= row.startedWallMs + cycleMs;
  return isDue && row.remaining.every((each) => !isLeft(each, context));
}

/** An instance is done when it has rebooted since the plan began, whatever the reason. */
function isLeft(each: RemainingInstance, { view }: RoundContext): boolean {
  if (view.instance(each.instance) === undefined) {
    return false;
  }
  return (view.boot(each.instance) ?? each.boot) <= each.boot || !view.isUp(each.instance);
}

/** An instance that was not known when the plan began counts from its first report. */
function withFirstBoots(row: PlanRow, { view }: RoundContext): PlanRow {
  const boot = ({ instance, boot: recorded }: RemainingInstance): number =>
    recorded === UNKNOWN_BOOT ? (view.boot(instance) ?? UNKNOWN_BOOT) : recorded;
  return row.remaining.every((each) => boot(each) === each.boot)
    ? row
    : { ...row, remaining: row.remaining.map((each) => ({ ...each, boot: boot(each) })) };
}

/** Instances of the plan's pools that are down without a planned reboot. */
export function failuresOf(
  definition: PlanDefinition,
  { view, ledger }: Pick<RoundContext, 'view' | 'ledger'>,
): number {
  return poolsOf(definition.instances)
    .flatMap((pool) => {
      const planned = new Set(ledger.plannedEntriesIn(pool).map((entry) => entry.instance));
      return view.instancesOf(pool).filter((each) => !planned.has(each.name));
    })
    .filter((each) => view.isReportedDown(each.name)).length;
}

/** How many more failures than at the start of the wave stop the plan. */
export function failureRise(definition: PlanDefinition, { view }: RoundContext): number {
  const pools = poolsOf(definition.instances);
  const size = pools.reduce((sum, pool) => sum + view.instancesOf(pool).length, 0);
  return Math.max(FAILURE_RISE_MIN, Math.ceil(size * FAILURE_RISE_PART));
}
