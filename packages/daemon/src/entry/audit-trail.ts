import {
  AuditExporter,
  queryAudit,
  RefusalRecorder,
  type AuditRecord,
  type ConfigReplica,
  type Holding,
  type OwnershipEvent,
} from '@turmerichoist/coordination';
import {
  NEVER,
  RESOURCE_KINDS,
  type AppError,
  type Clock,
  type MemberId,
  type Millis,
  type ResourceKind,
  type Result,
} from '@turmerichoist/core';
import type { ActorContext } from '@turmerichoist/runtime';
import type { AuditFilter } from '../api/index.js';
import type { Platform } from './platform.js';

/** Role of the entry that exports the audit trail and writes snapshots. */
export const AUDIT_ROLE = 'audit';

export interface AuditTrailOptions {
  readonly context: ActorContext;
  readonly memberId: MemberId;
  readonly clock: Clock;
  readonly platform: Platform;
  readonly replica: ConfigReplica;
  readonly newId: () => string;
}

/**
 * Records refused changes, exports the trail while this entry holds the role, and answers queries.
 */
export class AuditTrail {
  readonly #options: AuditTrailOptions;
  readonly #refusals: RefusalRecorder;
  readonly #exporter: AuditExporter;
  #holding: Holding | undefined;
  #sessionUntil: Millis = NEVER;

  constructor(options: AuditTrailOptions) {
    this.#options = options;
    const { context, memberId, platform, replica, newId } = options;
    const { table: store, objects } = platform;
    this.#refusals = new RefusalRecorder({ memberId, store, newId }, context);
    this.#exporter = new AuditExporter(
      {
        store,
        objects,
        newId,
        refresh: () => replica.refresh(),
        holding: () => this.#validHolding(),
      },
      context,
    );
  }

  start(): void {
    this.#refusals.start();
    this.#exporter.start();
  }

  ownershipChanged(event: OwnershipEvent): void {
    if (event.type === 'owned' && event.holding.role === AUDIT_ROLE) {
      this.#holding = event.holding;
    } else if (event.type === 'lost' && event.role === AUDIT_ROLE) {
      this.#holding = undefined;
    }
  }

  sessionChanged(validUntil: Millis): void {
    this.#sessionUntil = validUntil;
  }

  refused(record: AuditRecord): void {
    this.#refusals.post({ type: 'refused', record });
  }

  /**
   * Returns the matching records, newest first. Errors: those of the table service and object
   * store.
   */
  async query(
    filter: AuditFilter,
    signal: AbortSignal,
  ): Promise<Result<readonly AuditRecord[], AppError>> {
    const { table, objects } = this.#options.platform;
    const { actor, team, since, until, limit } = filter;
    const resource = parseResource(filter.resource);
    const query = {
      ...(actor === undefined ? {} : { actor }),
      ...(team === undefined ? {} : { team }),
      ...(resource === undefined ? {} : { resource }),
      ...(since === undefined ? {} : { fromMs: since }),
      ...(until === undefined ? {} : { toMs: until }),
    };
    const found = await queryAudit(table, objects, query, signal);
    return found.map((records) => records.toReversed().slice(0, limit));
  }

  /**
   * Read right before each write: a process that was paused must not write under a lapsed session.
   */
  #validHolding(): Holding | undefined {
    return this.#options.clock.now() < this.#sessionUntil ? this.#holding : undefined;
  }
}

function parseResource(
  text: string | undefined,
): { readonly kind: ResourceKind; readonly name: string } | undefined {
  const [kind, name] = (text ?? '').split('/', 2);
  const known = RESOURCE_KINDS.find((each) => each === kind);
  return known === undefined || name === undefined ? undefined : { kind: known, name };
}
