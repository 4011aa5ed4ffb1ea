import { readFileSync } from 'node:fs';
import { formatSettingsError, parseSettings } from '@turmerichoist/daemon';
import { expect, test } from '@jest/globals';

const EXAMPLE = readFileSync('examples/entry-1.yaml', 'utf8');

function settingsErrors(text: string): readonly string[] {
  const parsed = parseSettings(text, 's.yaml');
  return parsed.isErr() ? parsed.error.map(formatSettingsError) : [];
}

test('the example settings are valid and get defaults', () => {
  const settings = parseSettings(EXAMPLE, 's.yaml').unwrap();
  expect(settings).toMatchObject({ member: 'entry-1', maxWaiting: 10_000 });
});

test('all errors are reported at once, each with file, line and field', () => {
  const text = EXAMPLE.replace('member: entry-1', 'member: 7\nunknown: 1')
    .replace('  table: http://127.0.0.1:7001', '  table: nowhere')
    .replace('drainMs: 2000', 'drainMs: -1');
  const lines = text.split('\n');
  const at = (start: string): number => lines.findIndex((line) => line.startsWith(start)) + 1;
  expect(settingsErrors(text).map((error) => error.split(' ').slice(0, 2).join(''))).toEqual([
    `s.yaml:${at('member')}:member:`,
    `s.yaml:${at('  table')}:platform.table:`,
    `s.yaml:${at('drainMs')}:drainMs:`,
    `s.yaml:${at('unknown')}:unknown:`,
  ]);
});

test('contradictory settings are reported', () => {
  expect(settingsErrors(EXAMPLE.replace('drainMs: 2000', 'drainMs: 40000'))[0]).toContain(
    'less than stopMs',
  );
  expect(settingsErrors(EXAMPLE.replace('127.0.0.1:9080', '127.0.0.1:8080'))[0]).toContain(
    'differ',
  );
});

test('malformed YAML and files without settings are reported as errors, not thrown', () => {
  expect(settingsErrors('a: [')).not.toEqual([]);
  expect(settingsErrors('')).not.toEqual([]);
  expect(settingsErrors('- 1')).not.toEqual([]);
});

test('a port above 65535 is rejected', () => {
  expect(settingsErrors(EXAMPLE.replace('127.0.0.1:8080', '127.0.0.1:99999'))[0]).toContain(
    '65535',
  );
});
