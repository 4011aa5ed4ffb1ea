import { expect, test } from '@jest/globals';
import { Configuration, ERROR_TABLE, ManualClock, parseDocument } from '@turmerichoist/core';

test('a manual clock moves only when it is told to', () => {
  const clock = new ManualClock(5, 1_000);
  clock.advance(10);
  expect([clock.now(), clock.wall()]).toEqual([15, 1_015]);
});

test('every error kind says what to do next', () => {
  const silent = Object.entries(ERROR_TABLE).filter(([, answer]) => answer.nextStep === '');
  expect(silent).toEqual([]);
});

test('all faults of a document are reported at once, with their fields', () => {
  const parsed = parseDocument({
    kind: 'team',
    name: 'a',
    spec: { share: -1, limit: {}, extra: 1 },
  });
  const detail = parsed.isErr() ? parsed.error.detail : '';
  expect(detail).toContain('team/a.spec.share');
  expect(detail).toContain('team/a.spec.limit.requests');
  expect(detail).toContain('extra');
});

test('a configuration is not changed by making its successor', () => {
  const next = Configuration.empty.with(1, []);
  expect([Configuration.empty.revision, next.revision]).toEqual([0, 1]);
});
