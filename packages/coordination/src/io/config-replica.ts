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
import { ReplicaState, decodeSnapshot } from '../state/config-replica.js';
import type { ObjectStore, TableStore } from '../store/index.js';
import { ask } from './ask.js';
import { ConfigLoader } from './config-loader.js';

/** Period at which the head is read. */
export const CONFIG_POLL_MS = 500;
/** Distance from the head at which a snapshot is loaded instead of the log. */
const SNAPSHOT_DISTANCE = 1_000;

/** A configuration and the head row that it was current with. */
export interface ReplicaView {
  readonly cfg: Configuration;
  readonly head: LogHead;
}

export type ConfigReplicaMessage =
  | { readonly type: 'poll' }
  /** A peer has seen a higher revision. */
  | { readonly type: 'head-seen'; readonly revision: Revision }
  /** A snapshot from a peer, for an entry that starts while the store is down. */
  | { readonly type: 'offer'; readonly bytes: Uint8Array }
  /** Reads the head, catches up and replies. */
  | {
      readonly type: 'refresh';
      readonly reply: (view: Result<ReplicaView, AppError>) => void;
    };

export type ConfigEvent =
  | {
      readonly type: 'config-changed';
      readonly cfg: Configuration;
      /** The changes applied; empty when a snapshot was loaded, in which case watchers list again. */
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

/** Owns this entry's copy of the configuration and keeps it up to date. */
export class ConfigReplica extends Actor<ConfigReplicaMessage> {
  readonly #options: ConfigReplicaOptions;
  readonly #loader: ConfigLoader;
  readonly #state = new ReplicaState();
  #pollWaiting = false;

  constructor(options: ConfigReplicaOptions, context: ActorContext) {
    super('config', context);
    this.#options = options;
    this.#loader = new ConfigLoader(options.store, options.objects, this.log);
  }

  /** The configuration as last applied. It is immutable. */
  get cfg(): Configuration {
    return this.#state.cfg;
  }

  /** Starts the timer. */
  start(): void {
    this.poll();
    every(CONFIG_POLL_MS, this.signal, () => {
      this.poll();
    });
  }

  /** Asks for a read of the head, unless one is already waiting. */
  poll(): void {
    if (this.#pollWaiting) {
      return;
    }
    // Set first: an idle mailbox handles the message, which clears the flag, before `post` returns.
    this.#pollWaiting = true;
    if (!this.post({ type: 'poll' })) {
      this.#pollWaiting = false;
    }
  }

  /** Reads the head and catches up with it. Errors as in `TableStore`. */
  refresh(): Promise<Result<ReplicaView, AppError>> {
    return ask(this, this.signal, (reply): ConfigReplicaMessage => ({ type: 'refresh', reply }));
  }

  /** The changes after `revision`, from memory; `revision-gone` when they are not all kept. */
  changesAfter(revision: Revision): Result<readonly LogEntry[], AppError> {
    return this.#state.changesAfter(revision);
  }

  protected async receive(message: ConfigReplicaMessage): Promise<void> {
    switch (message.type) {
      case 'poll':
        this.#pollWaiting = false;
        await this.#refresh();
        return;
      case 'head-seen':
        if (message.revision > this.#state.revision) {
          await this.#refresh();
        }
        return;
      case 'offer':
        decodeSnapshot(message.bytes).map((cfg) => {
          this.#load(cfg);
        });
        return;
      case 'refresh':
        message.reply(await this.#refresh());
    }
  }

  async #refresh(): Promise<Result<ReplicaView, AppError>> {
    const sentAt = this.#options.clock.now();
    const head = await this.#loader.head(this.signal);
    if (head.isErr()) {
      this.#tell({ type: 'store-failed' });
      if (this.#state.revision === 0) {
        await this.#loadSnapshot();
      }
      return head;
    }
    this.#tell({ type: 'head-read', sentAt, revision: head.value.revision });
    const caughtUp = await this.#catchUp(head.value.revision);
    return caughtUp.map(() => ({ cfg: this.#state.cfg, head: head.value }));
  }

  async #catchUp(target: Revision): Promise<Result<void, AppError>> {
    if (target - this.#state.revision > SNAPSHOT_DISTANCE) {
      await this.#loadSnapshot();
    }
    while (this.#state.revision < target) {
      const read = await this.#loader.entriesAfter(this.#state.revision, this.signal);
      if (read.isErr()) {
        return read;
      }
      const applied = this.#state.apply(read.value);
      this.#publish(applied);
      if (applied.length === 0) {
        const bridged = await this.#bridgeGap();
        if (bridged.isErr()) {
          return bridged;
        }
      }
    }
    return Ok(undefined);
  }

  /** The log no longer has the next entry. */
  async #bridgeGap(): Promise<Result<void, AppError>> {
    if (await this.#loadSnapshot()) {
      return Ok(undefined);
    }
    const rows = await this.#loader.fromRows(this.signal);
    return rows.map((cfg) => {
      this.#load(cfg);
    });
  }

  async #loadSnapshot(): Promise<boolean> {
    const found = await this.#loader.snapshotAbove(this.#state.revision, this.signal);
    return found.isOk() && this.#load(found.value);
  }

  #load(cfg: Configuration): boolean {
    const loaded = this.#state.load(cfg);
    if (loaded) {
      this.#tell({ type: 'config-changed', cfg, entries: [] });
      this.#tell({ type: 'applied', revision: cfg.revision });
    }
    return loaded;
  }

  #publish(entries: readonly LogEntry[]): void {
    if (entries.length > 0) {
      this.#tell({ type: 'config-changed', cfg: this.#state.cfg, entries });
      this.#tell({ type: 'applied', revision: this.#state.revision });
    }
  }

  #tell(event: ConfigEvent): void {
    this.#options.listeners.forEach((listener) => listener.post(event));
  }
}
