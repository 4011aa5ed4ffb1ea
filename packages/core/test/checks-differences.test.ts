import { expect, test } from '@jest/globals';
import { explainDifferences, formatField, resourceOf } from '@turmerichoist/core';
import { configuration } from './fleet-fixtures.js';

type Spec = Readonly<Record<string, unknown>>;

const SHA_A = 'a'.repeat(64);
const SHA_B = 'b'.repeat(64);
const limit = { requests: 8 };
const keys = [
  { id: 'k1', sha256: SHA_A },
  { id: 'k2', sha256: SHA_B },
];

function fleet(specs: Readonly<Record<string, Spec | undefined>> = {}) {
  const all: Readonly<Record<string, Spec | undefined>> = {
    'zone/z1': { region: 'r' },
    'pool/web': { size: 1, budget: { maxUnavailable: 1 } },
    'queue/site': { pool: 'web' },
    'team/a': { share: 1, limit, keys },
    'upstream/u1': { pool: 'web', zone: 'z1', address: '10.0.0.1:80' },
    'instance/i1': {
      ...{ pool: 'web', zone: 'z1', rack: 'r1', address: '10.0.0.1:90' },
      ...{ processors: 1, memoryMb: 1 },
    },
    'plan/p': { select: { racks: ['r1'] } },
    ...specs,
  };
  const documents = Object.entries(all).flatMap(([key, spec]) => {
    const [kind, name] = key.split('/');
    return spec === undefined ? [] : [{ kind, name, spec }];
  });
  return configuration(documents);
}

/** Each difference as text, followed by the kind and resource of each effect. */
function explain(specs: Readonly<Record<string, Spec | undefined>>) {
  return explainDifferences(fleet(), fleet(specs)).map((difference) => {
    const field = formatField(difference.field);
    const effects = difference.effects.map(({ kind, resource }) => `${kind} ${resource}`);
    return [`${difference.op} ${resourceOf(difference)} ${field}`.trim(), ...effects];
  });
}

test('equal configurations have no differences, whatever their versions', () => {
  expect(explain({})).toEqual([]);
});

test('a lower limit names the team and the work that may be over it', () => {
  const [difference] = explainDifferences(
    fleet(),
    fleet({ 'team/a': { share: 1, limit: { requests: 3 }, keys } }),
  );
  expect(difference).toMatchObject({ op: 'changed', before: 8, after: 3 });
  expect(difference?.effects.map(({ kind }) => kind)).toEqual(['team', 'running-work']);
  expect(difference?.effects[1]?.message).toContain('up to 5 of 8 may run over the new limit 3');
});

test('a higher limit puts no running work over it', () => {
  const specs = { 'team/a': { share: 1, limit: { requests: 9 }, keys } };
  expect(explain(specs)).toEqual([['changed team/a spec.limit.requests', 'team team/a']]);
});

test.each([
  ['removed', keys.slice(1), 'removed team/a spec.keys.k1'],
  [
    'withdrawn',
    [{ ...keys[0], withdrawn: true }, keys[1]],
    'changed team/a spec.keys.k1.withdrawn',
  ],
])('a key that is %s is reported as withdrawn, and the others are not', (_, next, expected) => {
  expect(explain({ 'team/a': { share: 1, limit, keys: next } })).toEqual([
    [expected, 'team team/a', 'key-withdrawn team/a'],
  ]);
});

test('keys in another order are no difference', () => {
  expect(explain({ 'team/a': { share: 1, limit, keys: [...keys].reverse() } })).toEqual([]);
});

test('a deleted team withdraws all its keys', () => {
  expect(explain({ 'team/a': undefined })).toEqual([
    ['removed team/a', 'team team/a', 'key-withdrawn team/a', 'key-withdrawn team/a'],
  ]);
});

test('a key that moves to another team is withdrawn from the first one only', () => {
  const moved = { share: 1, limit, keys: keys.slice(0, 1) };
  const differences = explainDifferences(
    fleet(),
    fleet({ 'team/a': { share: 1, limit, keys: keys.slice(1) }, 'team/b': moved }),
  );
  const withdrawn = differences
    .flatMap(({ effects }) => effects)
    .filter(({ kind }) => kind === 'key-withdrawn');
  expect(withdrawn).toEqual([
    { kind: 'key-withdrawn', resource: 'team/a', message: 'requests with key k1 count for team/b' },
  ]);
});

test('of two keys with the same id, a change of the first one is not lost', () => {
  const twins = (withdrawn: boolean) => [
    { id: 'k', sha256: SHA_A, withdrawn },
    { id: 'k', sha256: SHA_B },
  ];
  const before = fleet({ 'team/a': { share: 1, limit, keys: twins(false) } });
  const after = fleet({ 'team/a': { share: 1, limit, keys: twins(true) } });
  expect(explainDifferences(before, after)).toMatchObject([
    { field: ['spec', 'keys', 0, 'withdrawn'], effects: [{}, { kind: 'key-withdrawn' }] },
  ]);
});

test('changes of upstreams, zones and pools name the queues behind them', () => {
  const upstream = { pool: 'web', zone: 'z1', address: '10.0.0.1:80', leaving: true };
  expect(explain({ 'upstream/u1': upstream })).toEqual([
    ['changed upstream/u1 spec.leaving', 'queue queue/site'],
  ]);
  expect(explain({ 'zone/z1': { region: 'r', state: 'out' } })).toEqual([
    ['changed zone/z1 spec.state', 'queue queue/site'],
  ]);
  expect(explain({ 'pool/web': { size: 1, budget: { maxUnavailable: 0 } } })).toEqual([
    ['changed pool/web spec.budget.maxUnavailable', 'queue queue/site', 'plan plan/p'],
  ]);
});

test('a label with the name of an inherited property is reported', () => {
  const instance = { pool: 'web', zone: 'z1', rack: 'r1', address: '10.0.0.1:90' };
  const labels = { toString: 'x' };
  expect(explain({ 'instance/i1': { ...instance, processors: 1, memoryMb: 1, labels } })).toEqual([
    ['added instance/i1 spec.labels.toString', 'plan plan/p'],
  ]);
});
