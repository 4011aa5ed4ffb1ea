import { expect, test } from '@jest/globals';
import { LoopLateness } from '../src/loop-lateness.js';

function after(gaps: readonly number[]): LoopLateness {
  const lateness = new LoopLateness(350);
  let now = 1_000;
  lateness.tick(now);
  gaps.forEach((gap) => {
    lateness.tick((now += gap));
  });
  return lateness;
}

test('one pause counts as overload', () => {
  expect(after([900])).toMatchObject({ late: true, overloaded: false });
  expect(after([900, 900, 360, 900])).toMatchObject({ late: true, overloaded: false });
});

test('a process whose timers are late all the time counts as healthy', () => {
  expect(after([900, 800, 760])).toMatchObject({ late: true, overloaded: true });
});

test('a process stays overloaded after its timers are on time again', () => {
  expect(after([900, 900, 900, 350])).toMatchObject({ late: false, overloaded: false });
});
