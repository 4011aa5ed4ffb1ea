import type {
  AppError,
  Change,
  Configuration,
  Finding,
  ResourceKind,
  Result,
  Revision,
} from '@turmerichoist/core';

/** An accepted configuration change. */
export interface AcceptedChange {
  readonly revision: Revision;
  readonly changes: readonly Change[];
  readonly actor: string;
  /** Wall-clock time in milliseconds. For display only. */
  readonly wallMs: number;
}

/** The changes that an apply made, or would make for a dry run. */
export interface ApplyOutcome {
  readonly revision: Revision;
  readonly dryRun: boolean;
  readonly changes: readonly Change[];
}

/** The outcome of a dry run, with what the rules report about the resulting configuration. */
export interface CheckedOutcome extends ApplyOutcome {
  readonly warnings: readonly Finding[];
}

export interface AuditFilter {
  readonly team?: string;
  /** As `kind/name`. */
  readonly resource?: string;
  readonly actor?: string;
  /** Bounds in wall-clock milliseconds. */
  readonly since?: number;
  readonly until?: number;
  readonly limit: number;
}

/** Whether an entry has the newest revision, an older one, or has not reported recently. */
export type RolloutState = 'in-force' | 'behind' | 'unknown';

export interface RolloutRow {
  readonly member: string;
  readonly zone: string;
  readonly state: RolloutState;
  readonly revision: Revision;
}

export interface RolloutStatus {
  /** Newest known revision. */
  readonly head: Revision;
  readonly members: readonly RolloutRow[];
}

/** Access of the operator API to the replicated configuration. */
export interface ConfigurationAccess {
  current(): Configuration;
  apply(
    documents: readonly unknown[],
    actor: string,
    dryRun: boolean,
    signal: AbortSignal,
  ): Promise<Result<ApplyOutcome, AppError>>;
  remove(
    kind: ResourceKind,
    name: string,
    version: Revision,
    actor: string,
    signal: AbortSignal,
  ): Promise<Result<ApplyOutcome, AppError>>;
  /** Changes after a revision. Fails with `revision-gone` when they are no longer retained. */
  changesAfter(revision: Revision): Result<readonly AcceptedChange[], AppError>;
  /** Calls `listener` after each change until the signal is aborted. */
  onChange(listener: () => void, signal: AbortSignal): void;
  audit(filter: AuditFilter, signal: AbortSignal): Promise<Result<readonly unknown[], AppError>>;
  rollout(signal: AbortSignal): Promise<Result<RolloutStatus, AppError>>;
}
