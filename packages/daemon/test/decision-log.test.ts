import { expect, test } from '@jest/globals';
import type { JobDecision } from '@turmerichoist/core';
import { createLogger } from '@turmerichoist/runtime';
import { DecisionLog } from '../src/jobs/decision-log.js';

// Each test is named after the failure that it guards against.

const task = (index: number) => ({ jobId: 'a', occurrence: 0, step: 1, index });

test('a task that runs twice can not be traced, as starts are not logged, or each takes a line', () => {
  const lines: Record<string, unknown>[] = [];
  const log = createLogger({
    level: 'info',
    format: 'json',
    write: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
  });
  const start = { type: 'start', executor: 'e1', payload: '', checkpoint: '' } as const;
  const decisions: readonly JobDecision[] = [
    { ...start, task: task(0), attempt: 1 },
    { type: 'stop', executor: 'e2', task: task(1), attempt: 2, why: 'superseded run' },
    { ...start, task: task(1), attempt: 1_001 },
  ];
  new DecisionLog(log).write(decisions);
  expect(lines).toMatchObject([
    { text: 'stop ordered', executor: 'e2', task: task(1), attempt: 2, why: 'superseded run' },
    { text: 'starts ordered', starts: ['a.0.1.0#1 e1', 'a.0.1.1#1001 e1'] },
  ]);
});

test('why an executor is held for a large task, and for how long, can not be told from the log', () => {
  const lines: Record<string, unknown>[] = [];
  const log = createLogger({
    level: 'info',
    format: 'json',
    write: (line) => lines.push(JSON.parse(line) as Record<string, unknown>),
  });
  const reservation = {
    executor: 'e1',
    pool: 'p1',
    job: 'a',
    team: 't1',
    needKey: '',
    resources: { processors: 40, memoryMb: 100, accelerators: 0 },
    availableAt: 1_700.4,
    madeAt: 1_000,
  };
  const type = 'reservation';
  const measured = { waitedMs: 900.6, meanTaskMs: 800.2, reportAgeMs: 20 };
  new DecisionLog(log).write([
    { type, change: 'made', reservation, ...measured, active: 1 },
    { type, change: 'ended', reservation, reason: 'executor-silent', heldMs: 400, active: 0 },
  ]);
  expect(lines).toMatchObject([
    {
      text: 'reservation made',
      executor: 'e1',
      job: 'a',
      resources: { processors: 40 },
      availableInMs: 700,
      waitedMs: 901,
      meanTaskMs: 800,
      reportAgeMs: 20,
      active: 1,
    },
    {
      text: 'reservation ended',
      executor: 'e1',
      reason: 'executor-silent',
      heldMs: 400,
      active: 0,
    },
  ]);
});
