import type { PlanDefinition } from './plan-definition.js';
import { poolsOf } from './plan-groups.js';
import type { RoundContext } from './round-context.js';
import type { PlanRow, RemainingInstance } from './rows.js';

/** Rise in failed instances of the affected pools since the start of the wave that stops a plan. */
const FAILURE_RISE_MIN = 2;
/** The same as a fraction of the instances of the affected pools, for large plans. */
const FAILURE_RISE_FRACTION = 0.05;

/** Boot count of an instance that was never reported. Real counts start at 1. */
const UNKNOWN_BOOT = 0;

/** The row of a plan that starts now. */
export function initialRow(definition: PlanDefinition, context: RoundContext): PlanRow {
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
    failuresAtWave: countFailures(definition, context),
    startedWallMs: context.wallMs,
  };
}

/** Updates the row for changes of the declaration and removes instances that have rebooted. */
export function refreshedRow(
  row: PlanRow,
  definition: PlanDefinition,
  context: RoundContext,
): PlanRow {
  if (row.selection !== definition.selection || isCycleOver(row, definition, context)) {
    return {
      ...initialRow(definition, context),
      startedWallMs: nextStartWallMs(row, definition, context),
    };
  }
  const known = withFirstBoots(row, context);
  const remaining = known.remaining.filter((each) => isRemaining(each, context));
  const pruned = remaining.length < known.remaining.length ? { ...known, remaining } : known;
  if (row.declaredVersion === definition.declaredVersion) {
    return pruned;
  }
  const failuresAtWave = countFailures(definition, context);
  return { ...pruned, declaredVersion: definition.declaredVersion, failuresAtWave };
}

/** Cycles follow each other without a gap, so that a late cycle doesn't delay the later ones. */
function nextStartWallMs(row: PlanRow, definition: PlanDefinition, context: RoundContext): number {
  const { cycleMs } = definition;
  const isSame = row.selection === definition.selection;
  return isSame && cycleMs !== undefined
    ? Math.max(row.startedWallMs + cycleMs, context.wallMs - cycleMs)
    : context.wallMs;
}

function isCycleOver(row: PlanRow, definition: PlanDefinition, context: RoundContext): boolean {
  const { cycleMs } = definition;
  const isDue = cycleMs !== undefined && context.wallMs >= row.startedWallMs + cycleMs;
  return isDue && row.remaining.every((each) => !isRemaining(each, context));
}

/** An instance is done once it has rebooted since the plan started, for whatever reason. */
function isRemaining(each: RemainingInstance, { view }: RoundContext): boolean {
  if (view.instance(each.instance) === undefined) {
    return false;
  }
  return (view.boot(each.instance) ?? each.boot) <= each.boot || !view.isUp(each.instance);
}

/** Sets the boot count of instances that were first reported after the plan started. */
function withFirstBoots(row: PlanRow, { view }: RoundContext): PlanRow {
  const boot = ({ instance, boot: recorded }: RemainingInstance): number =>
    recorded === UNKNOWN_BOOT ? (view.boot(instance) ?? UNKNOWN_BOOT) : recorded;
  return row.remaining.every((each) => boot(each) === each.boot)
    ? row
    : { ...row, remaining: row.remaining.map((each) => ({ ...each, boot: boot(each) })) };
}

/** Counts instances of the plan's pools that are reported down and have no planned entry. */
export function countFailures(
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

/** Rise in failures since the start of the wave that stops the plan. */
export function stoppingFailureRise(definition: PlanDefinition, { view }: RoundContext): number {
  const pools = poolsOf(definition.instances);
  const size = pools.reduce((sum, pool) => sum + view.instancesOf(pool).length, 0);
  return Math.max(FAILURE_RISE_MIN, Math.ceil(size * FAILURE_RISE_FRACTION));
}
