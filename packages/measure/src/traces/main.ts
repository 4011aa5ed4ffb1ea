import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { DEPLOYMENTS } from '../tasks/deployments.js';
import { encodeTrace, parseTrace } from './format.js';
import { generateTrace } from './generate.js';
import { replay } from './replay.js';

const USAGE =
  'usage: main.js generate --deployment consortium|nadroga --seed N [--duration-ms N]\n' +
  '       main.js replay FILE\n';

function main(): number {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      deployment: { type: 'string', default: 'consortium' },
      seed: { type: 'string', default: '1' },
      'duration-ms': { type: 'string', default: '180000' },
    },
  });
  const [command, file] = positionals;
  if (command === 'generate') {
    const deployment = DEPLOYMENTS.find(({ name }) => name === values.deployment);
    if (deployment !== undefined) {
      const trace = generateTrace(deployment, Number(values.seed), Number(values['duration-ms']));
      process.stdout.write(encodeTrace(trace));
      return 0;
    }
  }
  return command === 'replay' && file !== undefined ? replayFile(file) : usage();
}

function replayFile(file: string): number {
  const trace = parseTrace(readFileSync(file, 'utf8'));
  if (trace.isErr()) {
    process.stderr.write(`${file}: ${trace.error.detail ?? trace.error.kind}\n`);
    return 1;
  }
  const deployment = DEPLOYMENTS.find(({ name }) => name === trace.value.header.deployment);
  if (deployment === undefined) {
    process.stderr.write(`${file}: line 1: deployment: unknown\n`);
    return 1;
  }
  const report = replay(trace.value, deployment);
  process.stdout.write(`${JSON.stringify(report, undefined, 2)}\n`);
  return Object.values(report.broken).every((count) => count === 0) ? 0 : 1;
}

function usage(): number {
  process.stderr.write(USAGE);
  return 2;
}

process.exitCode = main();
