import { expect, test } from '@jest/globals';
import { CONFIGURATION_RULES, checkConfiguration, formatField } from '@turmerichoist/core';
import { configuration } from './fleet-fixtures.js';

type Spec = Readonly<Record<string, unknown>>;
interface Document {
  readonly kind: string;
  readonly name: string;
  readonly spec: Spec;
}

const SHA_A = 'a'.repeat(64);
const SHA_B = 'b'.repeat(64);

const place = { pool: 'web', zone: 'z1' };
const instance = { ...place, rack: 'r1', processors: 4, memoryMb: 1_024, labels: { os: 'old' } };
const limit = { requests: 32, processors: 16, memoryMb: 4_096 };

/** A configuration without findings: the tests change single documents of it. */
const SOUND: readonly Document[] = [
  { kind: 'zone', name: 'z1', spec: { region: 'r' } },
  { kind: 'pool', name: 'web', spec: { size: 2, budget: { maxUnavailable: 1 } } },
  { kind: 'queue', name: 'site', spec: { pool: 'web' } },
  { kind: 'upstream', name: 'u1', spec: { ...place, address: '10.0.0.1:80' } },
  { kind: 'upstream', name: 'u2', spec: { ...place, address: '10.0.0.2:80' } },
  { kind: 'instance', name: 'i1', spec: { ...instance, address: '10.0.0.1:90' } },
  { kind: 'instance', name: 'i2', spec: { ...instance, rack: 'r2', address: '10.0.0.2:90' } },
  { kind: 'team', name: 'a', spec: { share: 1, limit, keys: [{ id: 'k', sha256: SHA_A }] } },
  { kind: 'plan', name: 'p', spec: { select: { racks: ['r1'] } } },
];

/** The sound configuration with some documents added, or replaced as far as their fields go. */
function changed(...documents: readonly Document[]) {
  const changes = new Map(documents.map((each) => [`${each.kind}/${each.name}`, each]));
  const merged = SOUND.map((each) => {
    const change = changes.get(`${each.kind}/${each.name}`);
    changes.delete(`${each.kind}/${each.name}`);
    return { ...each, spec: { ...each.spec, ...change?.spec } };
  });
  return configuration([...merged, ...changes.values()].map((each) => ({ ...each })));
}

const team = (name: string, spec: Spec): Document => ({ kind: 'team', name, spec });
const plan = (spec: Spec): Document => ({ kind: 'plan', name: 'p', spec });
const pool = (spec: Spec): Document => ({ kind: 'pool', name: 'web', spec });
const upstream = (name: string, spec: Spec): Document => ({ kind: 'upstream', name, spec });

/** Rule, the place where it must report, and the change that it must find. */
const CASES: readonly (readonly [
  rule: string,
  resource: string,
  field: string,
  ...change: Document[],
])[] = [
  [
    'unknown-reference',
    'plan/p',
    'spec.select.zones.0',
    plan({ select: { racks: ['r1'], zones: ['nowhere'] } }),
  ],
  [
    'key-shared',
    'team/b',
    'spec.keys.0.sha256',
    team('b', { share: 1, limit, keys: [{ id: 'k', sha256: SHA_A }] }),
  ],
  [
    'queue-unreachable',
    'queue/site',
    'spec.open',
    team('a', { keys: [{ id: 'k', sha256: SHA_A, withdrawn: true }] }),
  ],
  [
    'queue-without-upstream',
    'queue/site',
    'spec.pool',
    upstream('u1', { leaving: true }),
    upstream('u2', { leaving: true }),
  ],
  [
    'deadline-too-short',
    'queue/site',
    'spec.maxDeadlineMs',
    { kind: 'queue', name: 'site', spec: { maxDeadlineMs: 9 } },
  ],
  [
    'pool-unused',
    'pool/other',
    'name',
    { kind: 'pool', name: 'other', spec: { size: 0, budget: { maxUnavailable: 0 } } },
  ],
  ['pool-size', 'pool/web', 'spec.size', pool({ size: 5 })],
  [
    'budget-whole-pool',
    'pool/web',
    'spec.budget.maxUnavailable',
    pool({ budget: { maxUnavailable: 2 } }),
  ],
  [
    'zone-budget-over-pool',
    'pool/web',
    'spec.zoneBudgets.0.maxUnavailable',
    pool({ zoneBudgets: [{ zone: 'z1', maxUnavailable: 2 }] }),
  ],
  [
    'limit-below-task',
    'team/a',
    'spec.limit.memoryMb',
    team('a', { limit: { ...limit, memoryMb: 0 } }),
  ],
  [
    'limit-below-share',
    'team/a',
    'spec.limit.requests',
    team('a', { limit: { ...limit, requests: 15 } }),
  ],
  ['team-without-key', 'team/b', 'spec.keys', team('b', { share: 1, limit })],
  [
    'slots-over-connections',
    'upstream/u1',
    'spec.slots',
    upstream('u1', { slots: 3, connections: 2 }),
  ],
  ['address-shared', 'upstream/u2', 'spec.address', upstream('u2', { address: '10.0.0.1:80' })],
  ['address-unusable', 'upstream/u2', 'spec.address', upstream('u2', { address: '10.0.0.256:80' })],
  ['zone-unused', 'zone/z2', 'name', { kind: 'zone', name: 'z2', spec: { region: 'r' } }],
  ['plan-unknown-rack', 'plan/p', 'spec.select.racks.1', plan({ select: { racks: ['r1', 'r9'] } })],
  [
    'plan-empty-zone',
    'plan/p',
    'spec.select.zones.0',
    plan({ select: { zones: ['z2'] } }),
    { kind: 'zone', name: 'z2', spec: { region: 'r' } },
    upstream('u1', { zone: 'z2' }),
  ],
  [
    'plan-unknown-label',
    'plan/p',
    'spec.select.labels.os',
    plan({ select: { labels: { os: 'new' } } }),
  ],
  [
    'plan-selects-nothing',
    'plan/p',
    'spec.select',
    plan({ select: { racks: ['r2'], labels: { gpu: 'yes' } } }),
    { kind: 'instance', name: 'i1', spec: { labels: { gpu: 'yes' } } },
  ],
  [
    'budget-forbids-plan',
    'plan/p',
    'spec.select',
    { kind: 'instance', name: 'i2', spec: { rack: 'r1' } },
  ],
  [
    'plan-window-empty',
    'plan/p',
    'spec.window',
    plan({ window: { fromMinute: 60, toMinute: 60 } }),
  ],
];

test('a sound configuration has no findings', () => {
  expect(checkConfiguration(changed())).toEqual([]);
});

test.each(CASES)(
  '%s is reported at %s %s and nothing else is',
  (rule, resource, field, ...docs) => {
    const found = checkConfiguration(changed(...docs)).map((finding) => {
      return `${finding.rule} ${finding.resource} ${formatField(finding.field)}`;
    });
    const others = found.filter((each) => !each.startsWith(`${rule} `));
    expect(found).toContain(`${rule} ${resource} ${field}`);
    // A closed queue without any key also leaves its team without one.
    expect(others).toEqual(
      rule === 'queue-unreachable' ? ['team-without-key team/a spec.keys'] : [],
    );
  },
);

test('no rule is without a case that it reports', () => {
  const covered = new Set(CASES.map(([rule]) => rule));
  expect(CONFIGURATION_RULES.map(({ id }) => id).filter((id) => !covered.has(id))).toEqual([]);
});

test('a team is not told to raise a limit of something that it does not use', () => {
  const tasksOnly = { requests: 0, processors: 16, memoryMb: 4_096 };
  const keys = [{ id: 'k', sha256: SHA_B }];
  const cfg = changed(team('b', { share: 1, limit: tasksOnly, keys }));
  expect(checkConfiguration(cfg)).toEqual([]);
});

test('a budget of one zone that forbids a plan is named', () => {
  const zoneBudgets = [{ zone: 'z1', maxUnavailable: 0 }];
  const [finding] = checkConfiguration(changed(pool({ zoneBudgets })));
  expect(finding).toMatchObject({ rule: 'budget-forbids-plan' });
  expect(finding?.message).toContain('pool/web in zone z1, which is 0');
});
