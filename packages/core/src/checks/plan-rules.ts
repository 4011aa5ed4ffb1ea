import { FleetView } from '../fleet/fleet-view.js';
import { windowMinutes } from '../fleet/maintenance-window.js';
import { lowerBound } from '../fleet/plan-bound.js';
import { declaredPlan, type PlanDefinition } from '../fleet/plan-definition.js';
import { selectInstances } from '../fleet/plan-groups.js';
import type { FleetWaitReason } from '../fleet/wait-reasons.js';
import type { Configuration, FieldPath, PlanSpec } from '../resources/index.js';
import { warning, type ConfigurationRule } from './configuration-rule.js';
import type { Finding } from './finding.js';

const SELECT: FieldPath = ['spec', 'select'];
const NO_DURATIONS = { drainMs: 0, rebootMs: 0 };

/** Reports racks in plans that no instance has. */
export class PlanRackRule implements ConfigurationRule {
  readonly id = 'plan-unknown-rack';

  check(cfg: Configuration): readonly Finding[] {
    const racks = new Set(cfg.list('instance').map(({ spec }) => spec.rack));
    return cfg.list('plan').flatMap(({ name, spec }) =>
      (spec.select.racks ?? []).flatMap((rack, index) =>
        racks.has(rack)
          ? []
          : [
              warning({
                rule: this.id,
                resource: `plan/${name}`,
                field: [...SELECT, 'racks', index],
                message: `no instance is in rack ${rack}`,
                nextStep: 'Correct the name of the rack.',
              }),
            ],
      ),
    );
  }
}

/** Reports zones in plans that exist but have no instance. */
export class PlanZoneRule implements ConfigurationRule {
  readonly id = 'plan-empty-zone';

  check(cfg: Configuration): readonly Finding[] {
    const zones = new Set(cfg.list('instance').map(({ spec }) => spec.zone));
    return cfg.list('plan').flatMap(({ name, spec }) =>
      (spec.select.zones ?? []).flatMap((zone, index) =>
        zones.has(zone) || cfg.get('zone', zone) === undefined
          ? []
          : [
              warning({
                rule: this.id,
                resource: `plan/${name}`,
                field: [...SELECT, 'zones', index],
                message: `no instance is in zone ${zone}`,
                nextStep: 'Correct the name of the zone.',
              }),
            ],
      ),
    );
  }
}

/** Reports labels in plans that no instance has. */
export class PlanLabelRule implements ConfigurationRule {
  readonly id = 'plan-unknown-label';

  check(cfg: Configuration): readonly Finding[] {
    const labels = new Set(
      cfg.list('instance').flatMap(({ spec }) => Object.entries(spec.labels).map(labelKey)),
    );
    return cfg.list('plan').flatMap(({ name, spec }) =>
      Object.entries(spec.select.labels ?? {}).flatMap(([label, value]) =>
        labels.has(labelKey([label, value]))
          ? []
          : [
              warning({
                rule: this.id,
                resource: `plan/${name}`,
                field: [...SELECT, 'labels', label],
                message: `no instance has the label ${label} with the value ${value}`,
                nextStep: 'Correct the label here or on the instances.',
              }),
            ],
      ),
    );
  }
}

function labelKey(label: readonly [string, string]): string {
  return JSON.stringify(label);
}

/** Reports plans whose criteria each match instances, but no instance matches all of them. */
export class PlanSelectionRule implements ConfigurationRule {
  readonly id = 'plan-selects-nothing';

  check(cfg: Configuration): readonly Finding[] {
    const view = viewOf(cfg);
    return cfg
      .list('plan')
      .filter(({ spec }) => selectInstances(view, spec.select).length === 0)
      .filter(({ spec }) => eachCriterionMatches(view, spec.select))
      .map(({ name }) =>
        warning({
          rule: this.id,
          resource: `plan/${name}`,
          field: SELECT,
          message: 'no instance matches all criteria, so the plan does nothing',
          nextStep: 'Correct the criteria. An instance must match every one of them.',
        }),
      );
  }
}

/** True for an empty selection too, which has no criterion and selects no instance. */
function eachCriterionMatches(view: FleetView, select: PlanSpec['select']): boolean {
  const criteria = Object.entries(select).map(([name, value]) => ({ [name]: value }));
  return criteria.every((criterion) => selectInstances(view, criterion).length > 0);
}

/** Reports plans that never end because a budget is smaller than what one step takes of it. */
export class ForbiddenPlanRule implements ConfigurationRule {
  readonly id = 'budget-forbids-plan';

  check(cfg: Configuration): readonly Finding[] {
    const view = viewOf(cfg);
    return cfg.list('plan').flatMap(({ name }) => this.#checkPlan(declaredPlan(view, name), view));
  }

  #checkPlan(plan: PlanDefinition | undefined, view: FleetView): readonly Finding[] {
    if (plan === undefined) {
      return [];
    }
    const { impossible } = lowerBound(plan, view, NO_DURATIONS, 0);
    return impossible.flatMap((reason) => this.#finding(plan, reason) ?? []);
  }

  #finding(plan: PlanDefinition, reason: FleetWaitReason): Finding | undefined {
    if (reason.type !== 'impossible') {
      return undefined;
    }
    const { pool, zone, needed, limit } = reason;
    const place = zone === undefined ? `pool/${pool}` : `pool/${pool} in zone ${zone}`;
    const step = plan.byRack ? 'a whole rack' : 'one instance';
    return warning({
      rule: this.id,
      resource: `plan/${plan.name}`,
      field: SELECT,
      message: `the plan never ends: ${step} takes ${needed} of the budget of ${place}, which is ${limit}`,
      nextStep: 'Raise maxUnavailable of the pool or zone, or select instances by label or zone.',
    });
  }
}

/** Reports plans whose window has no length, so that no wave ever starts. */
export class PlanWindowRule implements ConfigurationRule {
  readonly id = 'plan-window-empty';

  check(cfg: Configuration): readonly Finding[] {
    return cfg
      .list('plan')
      .filter(({ spec }) => windowMinutes(spec.window) === 0)
      .map(({ name }) =>
        warning({
          rule: this.id,
          resource: `plan/${name}`,
          field: ['spec', 'window'],
          message: 'the window begins and ends in the same minute, so no wave ever starts',
          nextStep: 'Correct toMinute, or leave the window out for the whole day.',
        }),
      );
  }
}

function viewOf(cfg: Configuration): FleetView {
  const view = new FleetView();
  view.configure(cfg);
  return view;
}
