#!/usr/bin/env node
import { randomInt, randomUUID } from 'node:crypto';
import { readFile } from 'node:fs/promises';
import { parseArgs } from 'node:util';
import { parseEndpoint, SeededRandom } from '@turmerichoist/core';
import {
  createLogger,
  NoMetrics,
  StatsdMetrics,
  SystemClock,
  type Logger,
  type Metrics,
} from '@turmerichoist/runtime';
import { Entry } from './entry/index.js';
import { formatSettingsError, parseSettings, type Settings } from './settings/index.js';

const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;
const MAX_SEED = 2 ** 32;

const USAGE = `turmerichoistd --settings FILE
turmerichoistd --check-settings FILE

Exit status: 0 after a planned stop, 1 when the entry can't run, 2 for invalid settings.
`;

async function readSettings(file: string): Promise<Settings | undefined> {
  const text = await readFile(file, 'utf8').catch((err: unknown) => {
    process.stderr.write(`${file}: ${String(err)}\n`);
    return undefined;
  });
  if (text === undefined) {
    return undefined;
  }
  const settings = parseSettings(text, file);
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.map(formatSettingsError).join('\n')}\n`);
    return undefined;
  }
  return settings.value;
}

function createMetrics(settings: Settings, log: Logger): Metrics {
  if (settings.metrics === undefined) {
    return new NoMetrics();
  }
  const { address, prefix } = settings.metrics;
  return new StatsdMetrics({
    ...parseEndpoint(address),
    prefix,
    onError: (err) => {
      log.warn('cannot send metrics', { err: err.message });
    },
  });
}

async function run(settings: Settings): Promise<void> {
  const log = createLogger(settings.log).child(settings.member);
  const entry = new Entry({
    settings,
    log,
    metrics: createMetrics(settings, log),
    clock: new SystemClock(),
    random: new SeededRandom(randomInt(MAX_SEED)),
    newId: randomUUID,
  });
  const started = await entry.start();
  if (started.isErr()) {
    log.error('cannot start', { error: started.error.kind, detail: started.error.detail });
    process.exit(EXIT_FAILED);
  }
  log.info('listening', { address: started.value });
  let stopping = false;
  const stop = (): void => {
    if (!stopping) {
      stopping = true;
      void entry.stop().then(() => process.exit(0));
    }
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
}

const { values } = parseArgs({
  options: { settings: { type: 'string' }, 'check-settings': { type: 'string' } },
});
const file = values.settings ?? values['check-settings'];
if (file === undefined) {
  process.stderr.write(USAGE);
  process.exit(EXIT_SETTINGS);
}
const settings = await readSettings(file);
if (settings === undefined) {
  process.exit(EXIT_SETTINGS);
}
if (values.settings !== undefined) {
  await run(settings);
}
