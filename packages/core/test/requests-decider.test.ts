import { describe, expect, test } from '@jest/globals';
import { type Arrival, RequestDecider, type RequestDecision, SeededRandom } from '../src/index.js';
import { KEY, cfgOf } from './requests-world.js';

const LATER = 1_000_000;

function arrival(id: string, over: Partial<Arrival> = {}): Arrival {
  const base = { queue: 'q', workClass: 'normal', idempotent: false, deadline: 5_000 } as const;
  return { id, keySha256: KEY.a, ...base, ...over };
}

/** An entry with a confirmed configuration, grants of two units per team and two upstreams. */
function entry(): RequestDecider {
  const decider = new RequestDecider({ random: new SeededRandom(1) });
  decider.handle({ type: 'config-changed', cfg: cfgOf() }, 0);
  decider.handle({ type: 'freshness', until: LATER }, 0);
  const units = new Map([
    ['a', 2],
    ['b', 2],
  ]);
  decider.handle({ type: 'grants-changed', units, validUntil: LATER }, 0);
  return decider;
}

function short(decisions: readonly RequestDecision[]): readonly string[] {
  return decisions.map((d) =>
    d.type === 'refuse' ? `${d.id} ${d.err.kind}` : `${d.id} ${d.type}`,
  );
}

describe('arrival', () => {
  test('work with a valid key is sent at once', () => {
    const out = entry().handle({ type: 'arrived', arrival: arrival('1') }, 1);
    expect(short(out)).toEqual(['1 send']);
  });

  test('a team does not run more than its units', () => {
    const decider = entry();
    const out = ['1', '2', '3'].flatMap((id) =>
      decider.handle({ type: 'arrived', arrival: arrival(id) }, 1),
    );
    expect(short(out)).toEqual(['1 send', '2 send']);
  });
});
