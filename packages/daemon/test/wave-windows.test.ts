import { describe, expect, test } from '@jest/globals';
import { WaveWindows } from '../src/jobs/wave-windows.js';

// Each test is named after the failure that it guards against.

const WAVE = { number: 1, instances: ['m1'], maxParallel: 1, durationMs: 20_000 };

describe('the window of a wave', () => {
  test('begins when this process started, although the wave is older', () => {
    const windows = new WaveWindows();
    expect(windows.apply([WAVE], undefined)).toEqual([WAVE]);
    expect(windows.apply([WAVE], 5_000)).toEqual([WAVE]);
  });

  test('begins anew with each change of the requests', () => {
    const windows = new WaveWindows();
    windows.apply([], undefined);
    windows.apply([WAVE], 5_000);
    const [wave] = windows.apply([WAVE], 9_000);
    expect(wave?.window).toEqual({ requestedAfter: 5_000, durationMs: 20_000 });
  });

  test('is set for a wave without a duration', () => {
    const windows = new WaveWindows();
    expect(windows.apply([{ ...WAVE, durationMs: 0 }], 5_000)[0]?.window).toBeUndefined();
  });
});
