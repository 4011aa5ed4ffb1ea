import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterAll, beforeAll, expect, test } from '@jest/globals';
import type { CheckReport } from '@turmerichoist/cli';

const SOUND = `kind: zone
name: z1
spec: { region: r }
---
kind: pool
name: web
spec: { size: 1, budget: { maxUnavailable: 1 } }
---
kind: queue
name: site
spec: { pool: web, open: true }
---
kind: upstream
name: u1
spec: { pool: web, zone: z1, address: 10.0.0.1:80, slots: 2 }
`;
const WITH_WARNING = SOUND.replace('slots: 2', 'slots: 2, connections: 1');
const TEAM = 'kind: team\nname: a\nspec: { share: 1, limit: { requests: 2 } }\n';

let folder: string;

beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'config-check-'));
});

afterAll(() => {
  rmSync(folder, { recursive: true, force: true });
});

function write(name: string, content: string | Buffer): string {
  const file = join(folder, name);
  writeFileSync(file, content);
  return file;
}

function check(...args: readonly string[]) {
  const command = ['packages/cli/bin/run.js', 'config', 'check', ...args];
  const { status, stdout, stderr } = spawnSync(process.execPath, command, { encoding: 'utf8' });
  return { status, stdout, stderr };
}

function report(...args: readonly string[]): CheckReport {
  return JSON.parse(check('--json', ...args).stdout) as CheckReport;
}

test('a sound file ends with exit code 0 and no findings', () => {
  const result = check('--strict', write('sound.yaml', SOUND));
  expect(result).toEqual({ status: 0, stdout: '0 errors, 0 warnings\n', stderr: '' });
});

test('warnings end with exit code 1 only with --strict', () => {
  const file = write('warning.yaml', WITH_WARNING);
  expect(check(file).status).toBe(0);
  const strict = check('--strict', file);
  expect(strict.status).toBe(1);
  expect(strict.stdout).toContain(`${file}:15:52: warning slots-over-connections: upstream/u1`);
});

test('errors end with exit code 2, each with file, line and field', () => {
  const file = write('errors.yaml', SOUND.replace('pool: web, open', 'pol: web, open'));
  expect(check(file).status).toBe(2);
  const { findings, summary } = report(file);
  expect(findings).toMatchObject([
    { severity: 'error', rule: 'field-invalid', file, line: 11, field: 'spec.pool' },
    { severity: 'error', rule: 'field-unknown', file, line: 11, column: 9, field: 'spec.pol' },
  ]);
  expect(summary).toMatchObject({ errors: 2, rulesChecked: false });
});

test('a reference to a resource of another file is found, and a missing one is not', () => {
  const [head = '', ...rest] = SOUND.split('---\n');
  const zone = write('zone.yaml', head);
  const others = write('others.yaml', rest.join('---\n'));
  expect(check(zone, others).status).toBe(0);
  expect(check(others).stdout).toContain(`${others}:11:20: error unknown-reference: upstream/u1`);
});

test('a resource that is declared twice shadows nothing: it is an error', () => {
  const file = write('twice.yaml', `${SOUND}---\n${SOUND.split('---\n')[0] ?? ''}`);
  expect(report(file).findings).toMatchObject([
    { rule: 'resource-repeated', resource: 'zone/z1', line: 18 },
  ]);
});

test.each([
  ['a line of 10 MB', 'a'.repeat(10_000_000), ':1: error file-too-large'],
  ['UTF-16', Buffer.from(`\ufeff${SOUND}`, 'utf16le'), ':1: error file-encoding'],
  ['a list in place of an object', `- ${TEAM.split('\n')[0] ?? ''}\n`, ':1:1: error not-an-object'],
  ['a field that is given twice', `kind: team\n${TEAM}`, ':2:1: error duplicate-key'],
  ['an empty file', '# nothing\n', ': error file-empty'],
])('%s ends in exit code 2 and an error without a stack trace', (_, content, expected) => {
  const file = write('bad.yaml', content);
  const { status, stdout, stderr } = check(file);
  expect(status).toBe(2);
  expect(stdout).toContain(file + expected);
  expect(stdout + stderr).not.toMatch(/^ +at /m);
});

test('a missing file, a folder and an unreachable server end in exit code 2', () => {
  const file = write('sound.yaml', SOUND);
  expect(check(join(folder, 'none.yaml')).status).toBe(2);
  expect(check(folder).status).toBe(2);
  const unreachable = check(file, '--against', 'server', '--server', 'http://127.0.0.1:1');
  expect(unreachable.status).toBe(2);
  expect(unreachable.stderr).toContain('cannot read the version in force: peer-unavailable');
});

test('control characters of a file do not reach the terminal', () => {
  const { stdout } = check(write('escape.yaml', '"\\e[31mred": 1\n'));
  expect(stdout).toContain('\\x1b[31mred');
  expect(stdout).not.toContain('\u001b');
});

test('a file with some resources is compared as apply would change the version in force', () => {
  const inForce = write('in-force.yaml', `${SOUND}---\n${TEAM}`);
  const change = write('change.yaml', TEAM.replace('requests: 2', 'requests: 1'));
  const { differences, findings } = report(change, '--against', inForce);
  expect(differences).toMatchObject([
    { op: 'changed', resource: 'team/a', field: 'spec.limit.requests', before: 2, after: 1 },
  ]);
  expect(findings.filter(({ severity }) => severity === 'error')).toEqual([]);
  const text = check(change, '--against', inForce).stdout;
  expect(text).toContain('changed team/a spec.limit.requests: 2 -> 1');
  expect(text).toContain('    running-work team/a: up to 1 of 2 may run over the new limit 1');
});

test('what a complete configuration leaves out is reported as removed', () => {
  const inForce = write('in-force.yaml', `${SOUND}---\n${TEAM}`);
  const file = write('sound.yaml', SOUND);
  expect(report(file, '--against', inForce).differences).toEqual([]);
  expect(report(file, '--against', inForce, '--complete').differences).toMatchObject([
    { op: 'removed', resource: 'team/a', field: '' },
  ]);
});
