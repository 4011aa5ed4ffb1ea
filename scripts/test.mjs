// Installs the dependencies, builds, checks formatting and lint, and runs all tests.
// Tests listed in KNOWN-RED.txt may fail. Their failures are printed and don't change the exit status.
import { spawnSync } from 'node:child_process';
import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { prepare, run } from './prepare.mjs';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return new Set(
    lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6).trim()),
  );
}

function runJest(extra) {
  const folder = mkdtempSync(join(tmpdir(), 'turmerichoist-'));
  const report = join(folder, 'jest.json');
  const args = ['--experimental-vm-modules', '--no-warnings', 'node_modules/jest/bin/jest.js'];
  spawnSync(process.execPath, [...args, '--json', `--outputFile=${report}`, ...extra], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  const result = existsSync(report) ? JSON.parse(readFileSync(report, 'utf8')) : undefined;
  rmSync(folder, { recursive: true, force: true });
  return result;
}

prepare();
const extra = process.argv.slice(2);
if (extra.length === 0) {
  run('npx', ['prettier', '--check', '--log-level=warn', '.']);
  run('npx', ['eslint', '.', '--max-warnings', '0']);
}

const result = runJest(extra);
if (result === undefined) {
  console.error('jest wrote no result file');
  process.exit(1);
}
const knownRedTests = readKnownRed();
const tests = result.testResults.flatMap((file) => file.assertionResults);
const failed = tests.filter((test) => test.status === 'failed');
const knownFailures = failed.filter((test) => knownRedTests.has(test.fullName));
const unexpectedFailures = failed.length - knownFailures.length;
const skipped = tests.filter((test) => ['pending', 'todo', 'skipped'].includes(test.status)).length;
const brokenFiles = result.numRuntimeErrorTestSuites;
for (const test of knownFailures) {
  console.log(`known red: ${test.fullName}`);
}
console.log(
  `${result.numPassedTests} passed, ${unexpectedFailures + brokenFiles} failed, ${skipped + knownFailures.length} skipped`,
);
process.exit(unexpectedFailures + brokenFiles === 0 && result.numPassedTests > 0 ? 0 : 1);
