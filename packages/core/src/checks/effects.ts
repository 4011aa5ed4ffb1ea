import type { Configuration } from '../resources/index.js';
import { findDifferences, type ConfigurationDifference } from './differences.js';
import { EffectContext, type Effect, type EffectRule } from './effect-rule.js';
import { KeyEffects } from './key-effects.js';
import { PlanEffects } from './plan-effects.js';
import { QueueEffects } from './queue-effects.js';
import { RunningWorkEffects } from './running-work-effects.js';
import { TeamEffects } from './team-effects.js';

const EFFECT_RULES: readonly EffectRule[] = [
  new TeamEffects(),
  new QueueEffects(),
  new KeyEffects(),
  new RunningWorkEffects(),
  new PlanEffects(),
];

/** Effects of one kind that are listed for one difference, which bounds the size of a report. */
const MAX_EFFECTS = 100;

/** A difference with what it affects. */
export interface ExplainedDifference extends ConfigurationDifference {
  readonly effects: readonly Effect[];
  /** Effects beyond the bound of each kind, which are counted only. */
  readonly omittedEffects: number;
}

/** Returns the differences between two configurations, each with what it affects. */
export function explainDifferences(
  before: Configuration,
  after: Configuration,
): readonly ExplainedDifference[] {
  const context = new EffectContext(before, after);
  return findDifferences(before, after).map((difference) => {
    const all = EFFECT_RULES.map((rule) => rule.effects(difference, context));
    const effects = all.flatMap((found) => found.slice(0, MAX_EFFECTS));
    const total = all.reduce((sum, found) => sum + found.length, 0);
    return { ...difference, effects, omittedEffects: total - effects.length };
  });
}
