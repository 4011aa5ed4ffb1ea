import { describe, expect, test } from '@jest/globals';
import { WorkerModel } from '@turmerichoist/stand-ins';
import { DEPLOYMENTS } from '../src/tasks/deployments.js';
import { encodeTrace, parseTrace, type TraceEvent } from '../src/traces/format.js';
import { generateTrace } from '../src/traces/generate.js';
import { InvariantChecker } from '../src/traces/invariants.js';
import { replay } from '../src/traces/replay.js';

const DURATION_MS = 60_000;
const HEADER = '{"type":"trace","version":1,"deployment":"consortium","seed":1,"durationMs":1000}';
const ZONE_OUT = '{"type":"operator","at":5,"act":"zone","zone":"z0","state":"out"}';
const RESOURCES = { processors: 1, memoryMb: 1, accelerators: 0 };

const ARRIVAL: TraceEvent = {
  ...{ type: 'arrival', at: 0, id: 't1', team: 'team-0', workClass: 'normal' },
  ...{ resources: RESOURCES, used: RESOURCES, idempotent: false, runMs: 100 },
};

describe('parseTrace', () => {
  test.each([
    ['a truncated line', [HEADER, ZONE_OUT.slice(0, 20)], 'line 2: not JSON'],
    ['an empty line between events', [HEADER, '', ZONE_OUT], 'line 2: not JSON'],
    ['another version', [HEADER.replace('"version":1', '"version":2')], 'line 1: version'],
    ['an unknown event', [HEADER, ZONE_OUT, '{"type":"other","at":6}'], 'line 3: type'],
    ['an unknown field', [HEADER, ZONE_OUT.replace('"at"', '"x":1,"at"')], 'line 2: '],
    [
      'a time that goes back',
      [HEADER, ZONE_OUT, ZONE_OUT.replace('5', '4')],
      'line 3: at: earlier',
    ],
    ['a time after the end', [HEADER, ZONE_OUT.replace('5', '1001')], 'line 2: at: after'],
    ['an empty file', [''], 'line 1: not JSON'],
  ])('%s must not be read as a trace', (_, lines, detail) => {
    const parsed = parseTrace(`${lines.join('\n')}\n`);
    expect(parsed.isErr() ? parsed.error.detail : '').toContain(detail);
  });

  test('the error for a duplicate arrival or a cancelled unknown task must name the line', () => {
    const arrival = JSON.stringify(ARRIVAL);
    const unknown = '{"type":"cancellation","at":1,"team":"team-0","ids":["t2"]}';
    for (const second of [arrival, unknown]) {
      const parsed = parseTrace(`${HEADER}\n${arrival}\n${second}\n`);
      expect(parsed.isErr() ? parsed.error.detail : '').toContain('line 3: id');
    }
  });
});

describe.each(DEPLOYMENTS.filter(({ name }) => name !== 'full'))('$name', (deployment) => {
  const trace = generateTrace(deployment, 1, DURATION_MS);

  test('the same seed must not give different traces, nor two seeds the same trace', () => {
    const text = encodeTrace(trace);
    expect(encodeTrace(generateTrace(deployment, 1, DURATION_MS))).toBe(text);
    expect(encodeTrace(generateTrace(deployment, 2, DURATION_MS))).not.toBe(text);
  });

  test('writing and reading a trace must not change it', () => {
    expect(parseTrace(encodeTrace(trace)).unwrap()).toEqual(trace);
  });

  test('zone changes and waves of failures must not violate an invariant', () => {
    const report = replay(trace, deployment);
    expect(report.starts).toBeGreaterThan(100);
    expect(Object.entries(report.broken).filter(([, count]) => count !== 0)).toEqual([]);
  });
});

describe('InvariantChecker', () => {
  const order = {
    ...{ id: 't1', ttlMs: 10_000, validBeforeMs: 100_000, incarnation: '1' },
    ...{ command: 'job ms=100', resources: RESOURCES, resume: false },
  };

  test('a checker that detects no violations would pass every replay', () => {
    const model = new WorkerModel({ capacity: { ...RESOURCES, processors: 4 }, lagMs: 0 }, 0);
    const checker = new InvariantChecker(new Map([['w0', 'z0']]));
    checker.observe(ARRIVAL, 0);
    checker.record([{ type: 'accepted', id: 't1', state: 'submitted' }], [], 0);
    model.lease({ ...order, fence: { epoch: 1, sequence: 1 } }, 10);
    model.advance(500);
    checker.observe({ type: 'operator', at: 500, act: 'zone', zone: 'z0', state: 'out' }, 500);
    model.lease({ ...order, fence: { epoch: 1, sequence: 2 } }, 600);
    const broken = checker.countViolations(new Map([['w0', model]]), 2_000);
    expect(broken).toMatchObject({ startsInClosedZone: 1, repeatedStarts: 1, lostTasks: 1 });
  });

  test('overlapping runs and a start after the end must be counted', () => {
    const models = [0, 1].map(
      () => new WorkerModel({ capacity: { ...RESOURCES, processors: 4 }, lagMs: 0 }, 0),
    );
    const checker = new InvariantChecker(new Map());
    checker.record([], [{ type: 'ended', id: 't1', state: 'finished', detail: '' }], 5);
    models.forEach((model, i) => {
      model.lease({ ...order, fence: { epoch: 1, sequence: i + 1 } }, 10 + i);
    });
    const broken = checker.countViolations(
      new Map(models.map((model, i) => [`w${i}`, model])),
      2_000,
    );
    expect(broken).toMatchObject({ overlappingRuns: 1, startsAfterEnd: 2 });
  });
});
