import {
  Ok,
  type AppError,
  type Clock,
  type Configuration,
  type Millis,
  type Result,
  type Revision,
} from '@turmerichoist/core';
import { Actor, every, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import type { LogHead, LogEntry } from '../state/config-log.js';
import { ReplicaState } from '../state/config-replica.js';
import type { ObjectStore, TableStore } from '../store/index.js';
import { ask } from './ask.js';
import { ConfigLoader } from './config-loader.js';

/** Interval between reads of the log head. */
export const CONFIG_POLL_MS = 500;
/** Lag behind the head, in revisions, above which a snapshot is loaded instead of the log. */
const SNAPSHOT_LAG_REVISIONS = 1_000;

/** A configuration that has caught up with the given log head. */
export interface ReplicaView {
  readonly cfg: Configuration;
  readonly head: LogHead;
}

export type ConfigReplicaMessage =
  | { readonly type: 'poll' }
  /** A peer has reported a higher revision. */
  | { readonly type: 'head-seen'; readonly revision: Revision }
  /** Reads the head, catches up with it and replies. */
  | {
      readonly type: 'refresh';
      readonly reply: (view: Result<ReplicaView, AppError>) => void;
    };

export type ConfigEvent =
  | {
      readonly type: 'config-changed';
      readonly cfg: Configuration;
      /** The entries applied. Empty when a snapshot was loaded: watchers must list again. */
      readonly entries: readonly LogEntry[];
    }
  | { readonly type: 'applied'; readonly revision: Revision }
  | { readonly type: 'head-read'; readonly sentAt: Millis; readonly revision: Revision }
  | { readonly type: 'store-failed' };

export interface ConfigReplicaOptions {
  readonly store: TableStore;
  readonly objects: ObjectStore;
  readonly clock: Clock;
  readonly listeners: readonly Recipient<ConfigEvent>[];
}

/** Owns this member's replica of the configuration and keeps it up to date. */
export class ConfigReplica extends Actor<ConfigReplicaMessage> {
  readonly #options: ConfigReplicaOptions;
  readonly #loader: ConfigLoader;
  readonly #state = new ReplicaState();
  #pollPending = false;

  constructor(options: ConfigReplicaOptions, context: ActorContext) {
    super('config', context);
    this.#options = options;
    this.#loader = new ConfigLoader(options.store, options.objects, this.log);
  }

  /** The latest applied configuration, which is immutable. */
  get cfg(): Configuration {
    return this.#state.cfg;
  }

  start(): void {
    this.poll();
    every(CONFIG_POLL_MS, this.signal, () => {
      this.poll();
    });
  }

  /** Requests a read of the head, unless such a request is already queued. */
  poll(): void {
    if (this.#pollPending) {
      return;
    }
    // Set before posting: an idle mailbox handles the message, which clears the flag, before `post`
    // returns.
    this.#pollPending = true;
    if (!this.post({ type: 'poll' })) {
      this.#pollPending = false;
    }
  }

  /** Reads the head and catches up with it. Errors as in `TableStore`. */
  refresh(): Promise<Result<ReplicaView, AppError>> {
    return ask(this, this.signal, (reply): ConfigReplicaMessage => ({ type: 'refresh', reply }));
  }

  /** The entries after `revision`, from memory; `revision-gone` when some are no longer retained. */
  changesAfter(revision: Revision): Result<readonly LogEntry[], AppError> {
    return this.#state.changesAfter(revision);
  }

  protected async receive(message: ConfigReplicaMessage): Promise<void> {
    switch (message.type) {
      case 'poll':
        this.#pollPending = false;
        await this.#refresh();
        return;
      case 'head-seen':
        if (message.revision > this.#state.revision) {
          await this.#refresh();
        }
        return;
      case 'refresh':
        message.reply(await this.#refresh());
    }
  }

  async #refresh(): Promise<Result<ReplicaView, AppError>> {
    const sentAt = this.#options.clock.now();
    const head = await this.#loader.readHead(this.signal);
    if (head.isErr()) {
      this.#notify({ type: 'store-failed' });
      if (this.#state.revision === 0) {
        await this.#loadNewerSnapshot();
      }
      return head;
    }
    this.#notify({ type: 'head-read', sentAt, revision: head.value.revision });
    const caughtUp = await this.#catchUp(head.value.revision);
    return caughtUp.map(() => ({ cfg: this.#state.cfg, head: head.value }));
  }

  async #catchUp(target: Revision): Promise<Result<void, AppError>> {
    if (target - this.#state.revision > SNAPSHOT_LAG_REVISIONS) {
      await this.#loadNewerSnapshot();
    }
    while (this.#state.revision < target) {
      const read = await this.#loader.readEntriesAfter(this.#state.revision, this.signal);
      if (read.isErr()) {
        return read;
      }
      const applied = this.#state.apply(read.value);
      this.#notifyApplied(applied);
      if (applied.length === 0) {
        const bridged = await this.#recoverFromLogGap();
        if (bridged.isErr()) {
          return bridged;
        }
      }
    }
    return Ok(undefined);
  }

  /** Catches up from a snapshot or the resource rows when the log no longer has the next entry. */
  async #recoverFromLogGap(): Promise<Result<void, AppError>> {
    if (await this.#loadNewerSnapshot()) {
      return Ok(undefined);
    }
    const rows = await this.#loader.loadFromRows(this.signal);
    return rows.map((cfg) => {
      this.#applySnapshot(cfg);
    });
  }

  async #loadNewerSnapshot(): Promise<boolean> {
    const found = await this.#loader.loadNewestSnapshotAfter(this.#state.revision, this.signal);
    return found.isOk() && this.#applySnapshot(found.value);
  }

  #applySnapshot(cfg: Configuration): boolean {
    const loaded = this.#state.load(cfg);
    if (loaded) {
      this.#notify({ type: 'config-changed', cfg, entries: [] });
      this.#notify({ type: 'applied', revision: cfg.revision });
    }
    return loaded;
  }

  #notifyApplied(entries: readonly LogEntry[]): void {
    if (entries.length > 0) {
      this.#notify({ type: 'config-changed', cfg: this.#state.cfg, entries });
      this.#notify({ type: 'applied', revision: this.#state.revision });
    }
  }

  #notify(event: ConfigEvent): void {
    this.#options.listeners.forEach((listener) => listener.post(event));
  }
}
