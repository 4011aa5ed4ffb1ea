import type { Configuration } from '../resources/index.js';
import type { ConfigurationRule } from './configuration-rule.js';
import type { Finding } from './finding.js';
import {
  ForbiddenPlanRule,
  PlanLabelRule,
  PlanRackRule,
  PlanSelectionRule,
  PlanWindowRule,
  PlanZoneRule,
} from './plan-rules.js';
import {
  SharedAddressRule,
  SlotsOverConnectionsRule,
  UnusableAddressRule,
  UnusedZoneRule,
} from './placement-rules.js';
import { PoolSizeRule, UnusedPoolRule, WholePoolBudgetRule, ZoneBudgetRule } from './pool-rules.js';
import {
  QueueWithoutUpstreamRule,
  ShortDeadlineRule,
  UnreachableQueueRule,
} from './queue-rules.js';
import { ReferenceRule, SharedKeyRule } from './reference-rules.js';
import { LimitBelowShareRule, LimitBelowTaskRule, TeamWithoutKeyRule } from './team-rules.js';

/** All rules, in the order in which their findings are reported. */
export const CONFIGURATION_RULES: readonly ConfigurationRule[] = [
  new ReferenceRule(),
  new SharedKeyRule(),
  new UnreachableQueueRule(),
  new QueueWithoutUpstreamRule(),
  new ShortDeadlineRule(),
  new UnusedPoolRule(),
  new PoolSizeRule(),
  new WholePoolBudgetRule(),
  new ZoneBudgetRule(),
  new LimitBelowTaskRule(),
  new LimitBelowShareRule(),
  new TeamWithoutKeyRule(),
  new SlotsOverConnectionsRule(),
  new SharedAddressRule(),
  new UnusableAddressRule(),
  new UnusedZoneRule(),
  new PlanRackRule(),
  new PlanZoneRule(),
  new PlanLabelRule(),
  new PlanSelectionRule(),
  new ForbiddenPlanRule(),
  new PlanWindowRule(),
];

/** Returns the findings of all rules about one configuration. */
export function checkConfiguration(cfg: Configuration): readonly Finding[] {
  return CONFIGURATION_RULES.flatMap((rule) => rule.check(cfg));
}

/** Bounds on a check in a process that has other work to do. */
export interface CheckBounds {
  /** Comparisons of one instance with one criterion of one plan. */
  readonly maxComparisons: number;
  readonly maxFindings: number;
}

/** The findings within some bounds, and what the bounds left out. */
export interface BoundedCheck {
  readonly findings: readonly Finding[];
  /** Number of findings beyond the bound. */
  readonly omitted: number;
  /** Identifiers of the rules that were not checked, as they need too many comparisons. */
  readonly skippedRules: readonly string[];
}

/** Checks one configuration within bounds, so that the time and the size of the result are small. */
export function checkWithin(cfg: Configuration, bounds: CheckBounds): BoundedCheck {
  const plansAllowed = planComparisons(cfg) <= bounds.maxComparisons;
  const isSkipped = ({ comparesPlans = false }: ConfigurationRule) =>
    comparesPlans && !plansAllowed;
  const findings = CONFIGURATION_RULES.flatMap((rule) => (isSkipped(rule) ? [] : rule.check(cfg)));
  return {
    findings: findings.slice(0, bounds.maxFindings),
    omitted: Math.max(0, findings.length - bounds.maxFindings),
    skippedRules: CONFIGURATION_RULES.filter(isSkipped).map(({ id }) => id),
  };
}

function planComparisons(cfg: Configuration): number {
  const criteria = cfg.list('plan').map(({ spec: { select } }) => {
    const { racks = [], zones = [], labels = {} } = select;
    return 1 + racks.length + zones.length + Object.keys(labels).length;
  });
  return cfg.list('instance').length * criteria.reduce((sum, count) => sum + count, 0);
}
