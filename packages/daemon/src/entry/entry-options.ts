import type { Clock, Random } from '@turmerichoist/core';
import type { Logger, Metrics } from '@turmerichoist/runtime';
import type { Settings } from '../settings/index.js';

export interface EntryOptions {
  readonly settings: Settings;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: () => string;
}
