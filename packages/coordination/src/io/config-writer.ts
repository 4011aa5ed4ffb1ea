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
import type { SessionEvent } from './session-keeper.js';

/** Times that a change is planned anew because another operator's came first. */
const MAX_RACES = 16;
/** Upper bound of the pause after a lost race. */
const RACE_PAUSE_MS = 50;
/** Pause between looks at the head after a change of unknown fate. */
const PENDING_RETRY_MS = 1_000;

export interface AppliedChange {
  /** Revision after the change; the current one when nothing changed. */
  readonly revision: Revision;
  readonly changes: readonly Change[];
  readonly dryRun: boolean;
}

interface Request {
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
      readonly request: Request;
      readonly reply: (result: Result<AppliedChange, AppError>) => void;
    };

export interface ConfigWriterOptions {
  /** Must settle unknown outcomes, as `SettlingStore` does. */
  readonly store: TableStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: () => string;
  /** Reads the head and catches up, as `ConfigReplica.refresh` does. */
  readonly refresh: () => Promise<Result<ReplicaView, AppError>>;
  /** Takes the records of refused requests. */
  readonly refusals: Recipient<{ readonly type: 'refused'; readonly record: AuditRecord }>;
  /** Is told when a change is on its way to the store, and when its fate is known. */
  readonly pending: Recipient<{ readonly type: 'change'; readonly pending: boolean }>;
  /**
   * Tells the peers of a new revision before the operator is answered, so that a change survives in
   * their knowledge if this entry and the store are lost right afterwards.
   */
  readonly announce: (revision: Revision) => Promise<void>;
}

/** Makes configuration changes, one at a time. */
export class ConfigWriter extends Actor<ConfigWriterMessage> {
  readonly #options: ConfigWriterOptions;
  readonly #changes = new PQueue({ concurrency: 1 });
  #sessionUntil: Millis = -Infinity;
  /** Changes on their way to the store whose fate is not known. */
  #pending = 0;

  constructor(options: ConfigWriterOptions, context: ActorContext) {
    super('config-writer', context);
    this.#options = options;
  }

  /**
   * Applies all documents together or none. Errors: `bad-document`, `version-conflict`,
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
        this.#sessionUntil = message.validUntil;
        return;
      case 'session-ended':
        this.#sessionUntil = -Infinity;
        return;
      case 'change':
        // Runs beside the mailbox, so that news of the session is not held up by a slow change.
        void this.#changes.add(async () => {
          message.reply(await this.#change(message.request));
        });
    }
  }

  #submit(request: Request): Promise<Result<AppliedChange, AppError>> {
    return ask(this, this.signal, (reply): ConfigWriterMessage => ({
      type: 'change',
      request,
      reply,
    }));
  }

  async #change(request: Request): Promise<Result<AppliedChange, AppError>> {
    const { newId, clock } = this.#options;
    const { actor, removals } = request;
    const base = { id: newId(), actor, wallMs: clock.wall(), removals };
    const parsed = parseDocuments(request.documents);
    if (parsed.isErr()) {
      const view = await this.#options.refresh();
      this.#refuse(
        view.unwrapOr(undefined)?.cfg,
        { ...base, documents: [] },
        parsed.error,
        request,
      );
      return parsed;
    }
    const change = { ...base, documents: parsed.value };
    for (let race = 0; race < MAX_RACES && !request.signal.aborted; race++) {
      const tried = await this.#attempt(change, request);
      if (tried !== undefined) {
        return tried;
      }
      await sleep(this.#options.random.next() * RACE_PAUSE_MS, request.signal);
    }
    return request.signal.aborted
      ? fail('not-ready', 'the caller gave up')
      : fail('version-conflict', 'other changes kept coming first');
  }

  /** Plans and commits once; undefined when another change came first. */
  async #attempt(
    change: ChangeRequest,
    request: Request,
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
      this.#refuse(cfg, change, planned.error, request);
      return planned;
    }
    const { entry } = planned.value;
    const { dryRun } = request;
    if (entry === undefined || dryRun) {
      const changes = entry?.changes ?? [];
      return Ok({ revision: planned.value.cfg.revision, changes, dryRun });
    }
    const txn = changeTransaction(entry, head, this.#options.newId());
    this.#countPending(1);
    const committed = await this.#commit(txn, request.signal);
    if (committed.isErr()) {
      this.#settled(committed.error);
      return committed;
    }
    if (committed.value) {
      await this.#options.refresh();
      await this.#options.announce(entry.revision);
    }
    this.#countPending(-1);
    return committed.value
      ? Ok({ revision: entry.revision, changes: entry.changes, dryRun })
      : undefined;
  }

  async #commit(
    txn: ReturnType<typeof changeTransaction>,
    signal: AbortSignal,
  ): Promise<Result<boolean, AppError>> {
    // Checked right before the act: a process that was paused must not write on an old session.
    if (this.#options.clock.now() >= this.#sessionUntil) {
      return fail('session-lapsed');
    }
    const sent = await this.#options.store.commit(txn, signal);
    return sent.map(({ committed }) => committed);
  }

  #settled(err: AppError): void {
    if (err.kind === 'outcome-unknown') {
      void this.#clearWhenReadable();
    } else {
      this.#countPending(-1);
    }
  }

  /** A change of unknown fate stays pending until the head can be read again. */
  async #clearWhenReadable(): Promise<void> {
    while (!this.signal.aborted) {
      await sleep(PENDING_RETRY_MS, this.signal);
      if ((await this.#options.refresh()).isOk()) {
        this.#countPending(-1);
        return;
      }
    }
  }

  #countPending(by: number): void {
    this.#pending += by;
    this.#options.pending.post({ type: 'change', pending: this.#pending > 0 });
  }

  #refuse(
    cfg: Configuration | undefined,
    change: ChangeRequest,
    err: AppError,
    request: Request,
  ): void {
    if (!request.dryRun && cfg !== undefined) {
      const record = buildRefusalRecord(cfg, change, err);
      this.#options.refusals.post({ type: 'refused', record });
    }
  }
}
