import type { ConfigReplica, ConfigWriter, LogEntry } from '@turmerichoist/coordination';
import type { AppError, Configuration, ResourceKind, Result, Revision } from '@turmerichoist/core';
import type {
  AcceptedChange,
  ApplyOutcome,
  AuditFilter,
  ConfigurationAccess,
  RolloutStatus,
} from '../api/index.js';

export interface ConfigurationServiceOptions {
  readonly replica: ConfigReplica;
  readonly writer: ConfigWriter;
  readonly audit: (
    filter: AuditFilter,
    signal: AbortSignal,
  ) => Promise<Result<readonly unknown[], AppError>>;
  readonly rollout: () => Result<RolloutStatus, AppError>;
}

/** Gives the operator API access to the replicated configuration. */
export class ConfigurationService implements ConfigurationAccess {
  readonly #options: ConfigurationServiceOptions;
  readonly #listeners = new Set<() => void>();

  constructor(options: ConfigurationServiceOptions) {
    this.#options = options;
  }

  current(): Configuration {
    return this.#options.replica.cfg;
  }

  apply(
    documents: readonly unknown[],
    actor: string,
    dryRun: boolean,
    signal: AbortSignal,
  ): Promise<Result<ApplyOutcome, AppError>> {
    return this.#options.writer.apply(documents, actor, dryRun, signal);
  }

  remove(
    kind: ResourceKind,
    name: string,
    version: Revision,
    actor: string,
    signal: AbortSignal,
  ): Promise<Result<ApplyOutcome, AppError>> {
    return this.#options.writer.remove(kind, name, version, actor, signal);
  }

  changesAfter(revision: Revision): Result<readonly AcceptedChange[], AppError> {
    return this.#options.replica.changesAfter(revision).map((entries) => entries.map(accepted));
  }

  onChange(listener: () => void, signal: AbortSignal): void {
    this.#listeners.add(listener);
    signal.addEventListener('abort', () => this.#listeners.delete(listener), { once: true });
  }

  /** Notifies the listeners that the configuration changed. */
  notifyListeners(): void {
    for (const listener of this.#listeners) {
      listener();
    }
  }

  audit(filter: AuditFilter, signal: AbortSignal): Promise<Result<readonly unknown[], AppError>> {
    return this.#options.audit(filter, signal);
  }

  rollout(): Promise<Result<RolloutStatus, AppError>> {
    return Promise.resolve(this.#options.rollout());
  }
}

function accepted({ revision, changes, actor, wallMs }: LogEntry): AcceptedChange {
  return { revision, changes, actor, wallMs };
}
