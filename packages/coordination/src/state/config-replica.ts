import { createHash } from 'node:crypto';
import { z } from 'zod';
import {
  Configuration,
  Ok,
  fail,
  type AppError,
  type Resource,
  type Result,
  type Revision,
} from '@turmerichoist/core';
import { canonicalJson } from './canonical-json.js';
import { padRevision, type LogEntry } from './config-log.js';

/** Changes retained for watchers; over three days at the design load of 590 changes a day. */
export const MAX_RETAINED_CHANGES = 2_000;

export const SNAPSHOT_PREFIX = 'snapshot/';

export function snapshotName(revision: Revision): string {
  return SNAPSHOT_PREFIX + padRevision(revision);
}

const snapshotSchema = z.object({
  revision: z.int().min(0),
  resources: z.array(z.custom<Resource>()),
  sha256: z.string(),
});

function checksum(revision: Revision, resources: readonly Resource[]): string {
  const text = canonicalJson({ revision, resources });
  return createHash('sha256').update(text).digest('hex');
}

/** Serialises a configuration with a SHA-256 checksum. */
export function encodeSnapshot(cfg: Configuration): Uint8Array {
  const { revision } = cfg;
  const resources = cfg.all();
  const snapshot = { revision, resources, sha256: checksum(revision, resources) };
  return new TextEncoder().encode(JSON.stringify(snapshot));
}

/** Decodes a snapshot. Errors: `store-rejected` when it is corrupt or truncated. */
export function decodeSnapshot(bytes: Uint8Array): Result<Configuration, AppError> {
  let json: unknown;
  try {
    json = JSON.parse(new TextDecoder().decode(bytes));
  } catch {
    return fail('store-rejected', 'the snapshot is not valid JSON');
  }
  const parsed = snapshotSchema.safeParse(json);
  if (!parsed.success) {
    return fail('store-rejected', 'the snapshot does not match the schema');
  }
  const { revision, resources, sha256 } = parsed.data;
  return checksum(revision, resources) === sha256
    ? Ok(Configuration.of(revision, resources))
    : fail('store-rejected', 'the snapshot checksum does not match');
}

/** A member's copy of the configuration. It only moves forward, and never skips a log entry. */
export class ReplicaState {
  #cfg = Configuration.empty;
  /** Consecutive log entries that end at the current revision. */
  #retained: readonly LogEntry[] = [];

  get cfg(): Configuration {
    return this.#cfg;
  }

  get revision(): Revision {
    return this.#cfg.revision;
  }

  /** Applies log entries in strict order, up to the first gap. Returns those that were applied. */
  apply(entries: readonly LogEntry[]): readonly LogEntry[] {
    return entries.filter((entry) => this.#applyOne(entry));
  }

  /** Switches to the configuration of a snapshot if that is newer. Returns whether it did. */
  load(cfg: Configuration): boolean {
    if (cfg.revision <= this.revision) {
      return false;
    }
    this.#cfg = cfg;
    this.#retained = [];
    return true;
  }

  /**
   * The changes after `revision`. Errors: `revision-gone` when some are no longer retained; the
   * watcher must then list the resources again and watch from that revision.
   */
  changesAfter(revision: Revision): Result<readonly LogEntry[], AppError> {
    const oldest = this.#retained[0]?.revision ?? this.revision + 1;
    return revision < oldest - 1
      ? fail('revision-gone', `oldest retained change: ${oldest}`)
      : Ok(this.#retained.filter((entry) => entry.revision > revision));
  }

  #applyOne(entry: LogEntry): boolean {
    if (entry.revision !== this.revision + 1) {
      return false;
    }
    this.#cfg = this.#cfg.with(entry.revision, entry.changes);
    this.#retained = [...this.#retained, entry].slice(-MAX_RETAINED_CHANGES);
    return true;
  }
}
