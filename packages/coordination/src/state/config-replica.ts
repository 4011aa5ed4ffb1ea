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
import { revisionText, type LogEntry } from './config-log.js';

/** Changes kept for watchers; more than three days of the 590 changes of a day at design size. */
export const KEPT_CHANGES = 2_000;

export const SNAPSHOT_PREFIX = 'snapshot/';

export function snapshotName(revision: Revision): string {
  return SNAPSHOT_PREFIX + revisionText(revision);
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

/** A configuration as bytes, with a SHA-256 checksum. */
export function encodeSnapshot(cfg: Configuration): Uint8Array {
  const { revision } = cfg;
  const resources = cfg.all();
  const snapshot = { revision, resources, sha256: checksum(revision, resources) };
  return new TextEncoder().encode(JSON.stringify(snapshot));
}

/** Decodes a snapshot. Fails with `store-rejected` when it is damaged or incomplete. */
export function decodeSnapshot(bytes: Uint8Array): Result<Configuration, AppError> {
  let json: unknown;
  try {
    json = JSON.parse(new TextDecoder().decode(bytes));
  } catch {
    return fail('store-rejected', 'the snapshot is incomplete');
  }
  const parsed = snapshotSchema.safeParse(json);
  if (!parsed.success) {
    return fail('store-rejected', 'the snapshot has another form');
  }
  const { revision, resources, sha256 } = parsed.data;
  return checksum(revision, resources) === sha256
    ? Ok(Configuration.of(revision, resources))
    : fail('store-rejected', 'the checksum of the snapshot is wrong');
}

/** The configuration of one entry. It moves to higher revisions only, and over no gap. */
export class ReplicaState {
  #cfg = Configuration.empty;
  /** Consecutive entries that end at the current revision. */
  #kept: readonly LogEntry[] = [];

  get cfg(): Configuration {
    return this.#cfg;
  }

  get revision(): Revision {
    return this.#cfg.revision;
  }

  /** Applies entries in strict order, up to the first gap. Returns those that were applied. */
  apply(entries: readonly LogEntry[]): readonly LogEntry[] {
    return entries.filter((entry) => this.#applyOne(entry));
  }

  /** Moves to the configuration of a snapshot if its revision is higher. */
  load(cfg: Configuration): boolean {
    if (cfg.revision <= this.revision) {
      return false;
    }
    this.#cfg = cfg;
    this.#kept = [];
    return true;
  }

  /**
   * The changes after `revision`. Fails with `revision-gone` when they are not all kept, in
   * which case the watcher lists the resources and watches from there.
   */
  changesAfter(revision: Revision): Result<readonly LogEntry[], AppError> {
    const oldest = this.#kept[0]?.revision ?? this.revision + 1;
    return revision < oldest - 1
      ? fail('revision-gone', `oldest kept change: ${oldest}`)
      : Ok(this.#kept.filter((entry) => entry.revision > revision));
  }

  #applyOne(entry: LogEntry): boolean {
    if (entry.revision !== this.revision + 1) {
      return false;
    }
    this.#cfg = this.#cfg.with(entry.revision, entry.changes);
    this.#kept = [...this.#kept, entry].slice(-KEPT_CHANGES);
    return true;
  }
}
