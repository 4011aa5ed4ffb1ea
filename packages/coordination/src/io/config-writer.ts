import PQueue from 'p-queue';
import {
  Ok,
  fail,
  parseDocuments,
  type AppError,
  type Change,
  type Clock,
  type Configuration,
  type Millis,
  type Random,
  type ResourceKind,
  type Result,
  type Revision,
} from '@turmerichoist/core';
import { Actor, sleep, type ActorContext, type Recipient } from '@turmerichoist/runtime';
import type { AuditRecord } from '../state/audit-record.js';
import {
  changeTransaction,
  planChange,
  buildRefusalRecord,
  type ChangeRequest,
  type Removal,
} from '../state/config-log.js';
import type { TableStore } from '../store/index.js';
import { ask } from './ask.js';
import type { ReplicaView } from './config-replica.js';
import type { SessionEvent } from './session-manager.js';

/** Attempts to commit a change before giving up because of conflicts with concurrent changes. */
const MAX_CONFLICT_ATTEMPTS = 16;
/** Upper bound of the random backoff after a conflict. */
const MAX_CONFLICT_BACKOFF_MS = 50;
/** Interval between reads of the head after a change with an unknown outcome. */
const PENDING_POLL_MS = 1_000;

export interface AppliedChange {
  /** Revision after the change; the current revision when nothing changed. */
  readonly revision: Revision;
  readonly changes: readonly Change[];
  readonly dryRun: boolean;
}

interface SubmittedChange {
  readonly actor: string;
  readonly documents: readonly unknown[];
  readonly removals: readonly Removal[];
  readonly dryRun: boolean;
  readonly signal: AbortSignal;
}

export type ConfigWriterMessage =
  | SessionEvent
  | {
      readonly type: 'change';
      readonly request: SubmittedChange;
      readonly reply: (result: Result<AppliedChange, AppError>) => void;
    };

export interface ConfigWriterOptions {
  /** Must resolve unknown outcomes, as `OutcomeResolvingStore` does. */
  readonly store: TableStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: () => string;
  /** Reads the head and catches up with it, as `ConfigReplica.refresh` does. */
  readonly refresh: () => Promise<Result<ReplicaView, AppError>>;
  /** Receives the audit records of refused changes. */
  readonly refusalRecorder: Recipient<{ readonly type: 'refused'; readonly record: AuditRecord }>;
  /** Is notified when changes are in flight to the store and when all their outcomes are known. */
  readonly pendingListener: Recipient<{ readonly type: 'change'; readonly pending: boolean }>;
  /**
   * Announces a new revision to the peers before the operator gets a response, so that peers know
   * of the change even if this member and the store fail right afterwards.
   */
  readonly announce: (revision: Revision) => Promise<void>;
}

/** Plans and commits configuration changes, one at a time. */
export class ConfigWriter extends Actor<ConfigWriterMessage> {
  readonly #options: ConfigWriterOptions;
  readonly #changeQueue = new PQueue({ concurrency: 1 });
  #sessionValidUntil: Millis = -Infinity;
  /** Number of changes sent to the store whose outcome is not known. */
  #pendingCount = 0;

  constructor(options: ConfigWriterOptions, context: ActorContext) {
    super('config-writer', context);
    this.#options = options;
  }

  /**
   * Applies all documents atomically. Errors: `bad-document`, `version-conflict`,
   * `session-lapsed`, `store-unavailable`, `outcome-unknown`.
   */
  apply(
    documents: readonly unknown[],
    actor: string,
    dryRun: boolean,
    signal: AbortSignal,
  ): Promise<Result<AppliedChange, AppError>> {
    return this.#submit({ actor, documents, removals: [], dryRun, signal });
  }

  /** Removes one resource. Errors as `apply`, and `not-found`. */
  remove(
    kind: ResourceKind,
    name: string,
    version: Revision | undefined,
    actor: string,
    signal: AbortSignal,
  ): Promise<Result<AppliedChange, AppError>> {
    const removal = version === undefined ? { kind, name } : { kind, name, version };
    return this.#submit({ actor, documents: [], removals: [removal], dryRun: false, signal });
  }

  protected receive(message: ConfigWriterMessage): void {
    switch (message.type) {
      case 'session':
        this.#sessionValidUntil = message.validUntil;
        return;
      case 'session-ended':
        this.#sessionValidUntil = -Infinity;
        return;
      case 'change':
        // Runs outside the mailbox, so that a slow change does not delay session events.
        void this.#changeQueue.add(async () => {
          message.reply(await this.#change(message.request));
        });
    }
  }

  #submit(request: SubmittedChange): Promise<Result<AppliedChange, AppError>> {
    return ask(this, this.signal, (reply): ConfigWriterMessage => ({
      type: 'change',
      request,
      reply,
    }));
  }

  async #change(request: SubmittedChange): Promise<Result<AppliedChange, AppError>> {
    const { newId, clock } = this.#options;
    const { actor, removals } = request;
    const base = { id: newId(), actor, wallMs: clock.wall(), removals };
    const parsed = parseDocuments(request.documents);
    if (parsed.isErr()) {
      const view = await this.#options.refresh();
      this.#recordRefusal(
        view.unwrapOr(undefined)?.cfg,
        { ...base, documents: [] },
        parsed.error,
        request,
      );
      return parsed;
    }
    const change = { ...base, documents: parsed.value };
    for (let attempt = 0; attempt < MAX_CONFLICT_ATTEMPTS && !request.signal.aborted; attempt++) {
      const result = await this.#attempt(change, request);
      if (result !== undefined) {
        return result;
      }
      await sleep(this.#options.random.next() * MAX_CONFLICT_BACKOFF_MS, request.signal);
    }
    return request.signal.aborted
      ? fail('not-ready', 'cancelled by the caller')
      : fail('version-conflict', 'conflict with concurrent changes on every attempt');
  }

  /** Plans and commits the change once; undefined on a conflict with a concurrent change. */
  async #attempt(
    change: ChangeRequest,
    request: SubmittedChange,
  ): Promise<Result<AppliedChange, AppError> | undefined> {
    const view = await this.#options.refresh();
    if (view.isErr()) {
      return view;
    }
    const { cfg, head } = view.value;
    if (cfg.revision !== head.revision) {
      return undefined;
    }
    const planned = planChange(cfg, change);
    if (planned.isErr()) {
      this.#recordRefusal(cfg, change, planned.error, request);
      return planned;
    }
    const { entry } = planned.value;
    const { dryRun } = request;
    if (entry === undefined || dryRun) {
      const changes = entry?.changes ?? [];
      return Ok({ revision: planned.value.cfg.revision, changes, dryRun });
    }
    const txn = changeTransaction(entry, head, this.#options.newId());
    this.#adjustPending(1);
    const committed = await this.#commit(txn, request.signal);
    if (committed.isErr()) {
      this.#onCommitFailed(committed.error);
      return committed;
    }
    if (committed.value) {
      await this.#options.refresh();
      await this.#options.announce(entry.revision);
    }
    this.#adjustPending(-1);
    return committed.value
      ? Ok({ revision: entry.revision, changes: entry.changes, dryRun })
      : undefined;
  }

  async #commit(
    txn: ReturnType<typeof changeTransaction>,
    signal: AbortSignal,
  ): Promise<Result<boolean, AppError>> {
    // Checked immediately before the commit, so that a process that was paused does not write under
    // a session that has lapsed.
    if (this.#options.clock.now() >= this.#sessionValidUntil) {
      return fail('session-lapsed');
    }
    const sent = await this.#options.store.commit(txn, signal);
    return sent.map(({ committed }) => committed);
  }

  #onCommitFailed(err: AppError): void {
    if (err.kind === 'outcome-unknown') {
      void this.#clearPendingWhenReadable();
    } else {
      this.#adjustPending(-1);
    }
  }

  /** Keeps a change with an unknown outcome pending until the head can be read again. */
  async #clearPendingWhenReadable(): Promise<void> {
    while (!this.signal.aborted) {
      await sleep(PENDING_POLL_MS, this.signal);
      if ((await this.#options.refresh()).isOk()) {
        this.#adjustPending(-1);
        return;
      }
    }
  }

  #adjustPending(delta: number): void {
    this.#pendingCount += delta;
    this.#options.pendingListener.post({ type: 'change', pending: this.#pendingCount > 0 });
  }

  #recordRefusal(
    cfg: Configuration | undefined,
    change: ChangeRequest,
    err: AppError,
    request: SubmittedChange,
  ): void {
    if (!request.dryRun && cfg !== undefined) {
      const record = buildRefusalRecord(cfg, change, err);
      this.#options.refusalRecorder.post({ type: 'refused', record });
    }
  }
}
