import {
  Configuration,
  type Resource,
  type ResourceDocument,
  parseDocument,
} from '../src/index.js';

/** SHA-256 digests of the keys of teams `a` and `b`. */
export const KEY = { a: 'a'.repeat(64), b: 'b'.repeat(64) } as const;

export interface ConfigurationOptions {
  readonly revision?: number;
  /** Teams whose key is withdrawn. */
  readonly withdrawn?: readonly string[];
  readonly limit?: number;
  readonly upstreams?: number;
  readonly slots?: number;
  /** Numbers of upstreams that are leaving. */
  readonly leaving?: readonly number[];
  readonly zoneOut?: boolean;
  readonly open?: boolean;
}

const parsed = new Map<string, ResourceDocument>();

/** Parses each distinct document once, since the property tests build many configurations. */
function resource(kind: string, name: string, spec: unknown, version: number): Resource {
  const text = JSON.stringify({ kind, name, spec });
  const document = parsed.get(text) ?? parseDocument({ kind, name, spec }).unwrap();
  parsed.set(text, document);
  return { ...document, version };
}

/**
 * Builds two teams, a queue `q`, and upstreams `u1`, `u2`, ... that alternate between zones `z1`
 * and `z2`.
 */
export function buildConfiguration(options: ConfigurationOptions = {}): Configuration {
  const { revision = 1, withdrawn = [], limit = 100, upstreams = 2, slots = 2 } = options;
  const build = (kind: string, name: string, spec: unknown): Resource =>
    resource(kind, name, spec, revision);
  const teams = (['a', 'b'] as const).map((team) => {
    const key = { id: 'k', sha256: KEY[team], withdrawn: withdrawn.includes(team) };
    return build('team', team, { share: 1, limit: { requests: limit }, keys: [key] });
  });
  const executors = Array.from({ length: upstreams }, (_, at) => {
    const leaving = options.leaving?.includes(at + 1) ?? false;
    const spec = { pool: 'p', zone: at % 2 === 0 ? 'z1' : 'z2', address: '127.0.0.1:1' };
    return build('upstream', `u${at + 1}`, { ...spec, slots, leaving });
  });
  return Configuration.of(revision, [
    ...teams,
    ...executors,
    build('queue', 'q', { pool: 'p', open: options.open ?? false, maxDeadlineMs: 60_000 }),
    build('pool', 'p', { size: upstreams, budget: { maxUnavailable: 1 } }),
    build('zone', 'z1', { region: 'r', state: options.zoneOut === true ? 'out' : 'in' }),
    build('zone', 'z2', { region: 'r' }),
  ]);
}
