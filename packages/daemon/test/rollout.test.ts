import { beforeEach, expect, test } from '@jest/globals';
import type { MemberRow, PeerReport, ViewMember } from '@turmerichoist/coordination';
import type { Incarnation, Millis, Revision } from '@turmerichoist/core';
import { RolloutTracker } from '../src/entry/rollout.js';

// Each test is named after the failure that it guards against.

const HEAD = 5;
const SELF = { member: 'a', zone: 'z1', revision: HEAD, state: 'in-force' } as const;
const OTHER: ViewMember = {
  member: 'b',
  address: '',
  zone: 'z2',
  state: 'live',
  contact: true,
  revision: HEAD,
};

let tracker: RolloutTracker;

beforeEach(() => {
  tracker = new RolloutTracker();
  tracker.viewChanged([OTHER]);
});

function report(revision: Revision, datedAt: Millis, incarnation?: Incarnation): void {
  const sender = incarnation === undefined ? {} : { incarnation };
  const sent: PeerReport = {
    member: 'b',
    ...sender,
    status: { storeReachable: true, revision },
    datedAt,
  };
  tracker.recordReport(sent);
}

function row(appliedRevision: Revision, sentAt: Millis, incarnation = 'b-1'): void {
  const read: MemberRow = { member: 'b', incarnation, address: '', zone: 'z2', appliedRevision };
  tracker.recordRows([read], sentAt, ['b']);
}

function stateAt(now: Millis): string | undefined {
  return tracker.status(SELF, HEAD, now).members.find(({ member }) => member === 'b')?.state;
}

test('an entry is behind again, as its row was written before its report', () => {
  row(HEAD - 1, 900);
  expect(stateAt(900)).toBe('behind');
  report(HEAD, 1_000, 'b-1');
  expect(stateAt(1_000)).toBe('in-force');
  row(HEAD - 1, 1_100);
  expect(stateAt(1_100)).toBe('in-force');
});

test.each([
  ['its former process had applied', undefined],
  ['a late report of its former process names', 'b-1'],
])('an entry that has restarted is shown with the revision that %s', (_what, late) => {
  row(HEAD, 900);
  row(0, 1_000, 'b-2');
  if (late !== undefined) {
    report(HEAD, 1_100, late);
  }
  expect(stateAt(1_100)).toBe('behind');
});

test('a forwarded report of a former process counts for the present one', () => {
  row(HEAD, 900);
  row(0, 1_000, 'b-2');
  report(HEAD, 950);
  expect(stateAt(1_100)).toBe('behind');
  report(HEAD, 1_050);
  expect(stateAt(1_100)).toBe('in-force');
});

test('a report is not recorded while no row of its entry has been read', () => {
  report(HEAD, 1_000, 'b-1');
  expect(stateAt(1_000)).toBe('in-force');
});

test('an entry that is neither read nor reported stays in force', () => {
  row(HEAD, 1_000);
  expect(stateAt(6_000)).toBe('in-force');
  expect(stateAt(6_001)).toBe('unknown');
});
