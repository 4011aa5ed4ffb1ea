import { expect, test } from '@jest/globals';
import { CONTACT_TICK_MS, StoreContact, type ContactState } from '@turmerichoist/coordination';

// Each test is named after the failure that it guards against, and the line above it says which
// pattern of calls and answers it plays.

interface Span {
  readonly from: number;
  readonly to: number;
  /** Interval between calls. */
  readonly everyMs: number;
  /** Time until the answer; undefined if there is none. */
  readonly answerMs: number | undefined;
  /** Time after which a call without an answer ends; never by default. */
  readonly endMs?: number;
}

type Step = (contact: StoreContact) => void;

/** Plays calls and ticks in order of time. Returns the state after each tick. */
function play(spans: readonly Span[], untilMs: number, paused: readonly [number, number] = [0, 0]) {
  const steps: (readonly [number, Step])[] = [];
  for (const { from, to, everyMs, answerMs, endMs } of spans) {
    for (let at = from; at < to; at += everyMs) {
      steps.push([
        at,
        (contact) => {
          contact.onSent(at);
        },
      ]);
      if (answerMs !== undefined) {
        const answeredAt = at + answerMs;
        steps.push([
          answeredAt,
          (contact) => {
            contact.onAnswered(answeredAt, false);
          },
        ]);
      } else if (endMs !== undefined) {
        const endedAt = at + endMs;
        steps.push([
          endedAt,
          (contact) => {
            contact.onUnanswered(endedAt);
          },
        ]);
      }
    }
  }
  const states = new Map<number, ContactState>();
  for (let at = 0; at <= untilMs; at += CONTACT_TICK_MS) {
    if (at <= paused[0] || at >= paused[1]) {
      steps.push([
        at,
        (contact) => {
          states.set(at, contact.tick(at));
        },
      ]);
    }
  }
  const contact = new StoreContact();
  steps
    .filter(([at]) => at <= untilMs)
    .sort(([a], [b]) => a - b)
    .forEach(([, step]) => {
      step(contact);
    });
  return states;
}

function since(
  states: ReadonlyMap<number, ContactState>,
  wanted: ContactState,
): number | undefined {
  return [...states].find(([, state]) => state === wanted)?.[0];
}

const POLL_MS = 250;
const calm = (to: number): Span => ({ from: 0, to, everyMs: POLL_MS, answerMs: 6 });

// A store that answers within milliseconds, then answers nothing; calls end by a time-out.
test('submissions hang for seconds at an entry that the store does not answer', () => {
  const silence = { from: 2_000, to: 9_000, everyMs: POLL_MS, answerMs: undefined, endMs: 1_200 };
  const states = play([calm(2_000), silence], 4_000);
  expect(since(states, 'silent')).toBeLessThanOrEqual(2_000 + 400);
  expect(since(states, 'lost')).toBeLessThanOrEqual(2_000 + 1_100);
});

// Connections are reset at once, so that no call is ever pending for long.
test('an entry whose calls are all reset counts as in touch', () => {
  const resets = { from: 2_000, to: 9_000, everyMs: 100, answerMs: undefined, endMs: 1 };
  expect(since(play([calm(2_000), resets], 4_000), 'lost')).toBeLessThanOrEqual(3_200);
});

// The store answers nothing for 0.8 s, then again.
test('a short hiccup of the store takes the entry out of rotation', () => {
  const hiccup = { from: 2_000, to: 2_750, everyMs: POLL_MS, answerMs: 800 };
  const states = play([calm(2_000), hiccup, { ...calm(0), from: 2_800, to: 6_000 }], 6_000);
  expect(since(states, 'lost')).toBeUndefined();
  expect(states.get(2_900)).toBe('in-touch');
});

// One part queues its transactions for a second while reads are answered.
test('a full part of the store counts as a store that does not answer', () => {
  const writes = { from: 0, to: 5_000, everyMs: 50, answerMs: 1_000 };
  const states = play([calm(6_000), writes], 6_000);
  expect([...states.values()].every((state) => state === 'in-touch')).toBe(true);
});

// Each answer of the store takes 500 ms from 2 s on, and few calls are made.
test('a slow store is taken for one that does not answer, again and again', () => {
  const slow = { from: 2_000, to: 20_000, everyMs: 600, answerMs: 500 };
  const states = play([calm(2_000), slow], 20_000);
  const wrong = [...states].filter(([at, state]) => at > 2_600 && state !== 'in-touch');
  expect(wrong).toEqual([]);
});

// The process is paused for 3 s with calls pending, which are answered once it runs again.
test('an entry that was paused itself blames the store', () => {
  const waiting = { from: 2_000, to: 2_100, everyMs: 100, answerMs: 3_100 };
  const states = play([calm(2_000), waiting], 5_200, [2_000, 5_000]);
  expect(since(states, 'silent')).toBeUndefined();
});

// A silence of 9 s ends; the next one begins 5 s later.
test('a second silence is noticed late because the first one was long', () => {
  const silence = { from: 2_000, to: 11_000, everyMs: 250, answerMs: undefined, endMs: 250 };
  const states = play(
    [
      calm(2_000),
      silence,
      { ...calm(0), from: 11_000, to: 16_000 },
      { ...silence, from: 16_000, to: 20_000 },
    ],
    20_000,
  );
  const second = [...states].find(([at, state]) => at > 12_000 && state === 'silent');
  expect(second?.[0]).toBeLessThanOrEqual(16_000 + 600);
});

// No calls are made for 5 s, only a long poll waits.
test('an entry without calls counts as out of touch', () => {
  expect(since(play([calm(1_000)], 6_000), 'silent')).toBeUndefined();
});
