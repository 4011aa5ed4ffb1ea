import { resourceOf, type ConfigurationDifference } from './differences.js';
import type { Effect, EffectContext, EffectRule } from './effect-rule.js';

/** Names the maintenance plans that a difference starts, changes or slows down. */
export class PlanEffects implements EffectRule {
  effects(difference: ConfigurationDifference, context: EffectContext): readonly Effect[] {
    const { kind, name } = difference;
    if (kind === 'plan') {
      return [{ kind: 'plan', resource: resourceOf(difference), message: describe(difference) }];
    }
    if (kind !== 'instance' && !isBudget(difference)) {
      return [];
    }
    const message =
      kind === 'instance' ? 'this plan selects the instance' : 'the pace of this plan changes';
    return context.plansOf(kind === 'instance' ? 'instance' : 'pool', name).map((plan) => {
      return { kind: 'plan', resource: `plan/${plan}`, message };
    });
  }
}

function describe({ op, field }: ConfigurationDifference): string {
  if (field.length === 0) {
    return op === 'added' ? 'a new plan is declared' : 'the plan ends';
  }
  return field[1] === 'select' || field[1] === 'action'
    ? 'the plan restarts with another selection'
    : 'the plan goes on with other values';
}

function isBudget({ kind, field }: ConfigurationDifference): boolean {
  const isPart = field[1] === 'budget' || field[1] === 'zoneBudgets';
  return kind === 'pool' && (field.length === 0 || isPart);
}
