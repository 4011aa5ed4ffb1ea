import type { Configuration } from '../resources/index.js';
import { resourceOf, type ConfigurationDifference } from './differences.js';
import type { Effect, EffectContext, EffectRule } from './effect-rule.js';

/** Names the keys that are valid before a change and no longer valid for the team after it. */
export class KeyEffects implements EffectRule {
  effects(difference: ConfigurationDifference, context: EffectContext): readonly Effect[] {
    const { kind, name, field } = difference;
    const isAboutKeys = field.length === 0 || field[1] === 'keys';
    if (kind !== 'team' || !isAboutKeys) {
      return [];
    }
    const after = new Set(validKeys(context.after, name).map(({ sha256 }) => sha256));
    return validKeys(context.before, name)
      .filter(({ id, sha256 }) => !after.has(sha256) && (field[2] ?? id) === id)
      .map(({ id }) => {
        const message = `requests with key ${id} get the error key-rejected`;
        return { kind: 'key-withdrawn', resource: resourceOf(difference), message };
      });
  }
}

function validKeys(cfg: Configuration, team: string) {
  return cfg.spec('team', team)?.keys.filter(({ withdrawn }) => !withdrawn) ?? [];
}
