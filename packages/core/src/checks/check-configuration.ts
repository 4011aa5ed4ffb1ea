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
