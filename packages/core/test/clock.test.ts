import { expect, test } from '@jest/globals';
import { Configuration, ERROR_TABLE, ManualClock, parseDocument } from '@turmerichoist/core';

test('a manual clock advances only on request', () => {
  const clock = new ManualClock(5, 1_000);
  clock.advance(10);
  expect([clock.now(), clock.wall()]).toEqual([15, 1_015]);
});

test('every error kind has a next step', () => {
  const withoutNextStep = Object.entries(ERROR_TABLE).filter(
    ([, answer]) => answer.nextStep === '',
  );
  expect(withoutNextStep).toEqual([]);
});

test('all invalid fields of a document are reported together', () => {
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

test('deriving a new configuration does not change the old one', () => {
  const next = Configuration.empty.with(1, []);
  expect([Configuration.empty.revision, next.revision]).toEqual([0, 1]);
});
