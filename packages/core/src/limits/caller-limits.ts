import type { Millis } from '../types/index.js';

/** Limits of single requests and connections. */
export interface CallerLimits {
  /** All header fields of one request. */
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time for the header fields, from their first byte. */
  readonly headerTimeoutMs: Millis;
  /** Time for which the load balancer keeps a connection open without a request. */
  readonly idleTimeoutMs: Millis;
}

/** The limits where the configuration has none. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 262_144,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};
