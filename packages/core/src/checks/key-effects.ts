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
    return validKeys(context.before, name)
      .filter(({ id }) => typeof field[2] !== 'string' || field[2] === id)
      .map((key) => ({ id: key.id, owner: context.teamOfKey(key.sha256) }))
      .filter(({ owner }) => owner !== name)
      .map(({ id, owner }) => {
        const outcome =
          owner === undefined ? 'get the error key-rejected' : `count for team/${owner}`;
        const message = `requests with key ${id} ${outcome}`;
        return { kind: 'key-withdrawn', resource: resourceOf(difference), message };
      });
  }
}

function validKeys(cfg: Configuration, team: string) {
  return cfg.spec('team', team)?.keys.filter(({ withdrawn }) => !withdrawn) ?? [];
}
