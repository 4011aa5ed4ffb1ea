import type {
  AuditRecord,
  Broadcast,
  JsonValue,
  ListedInstance,
  MemberWatchEvent,
  OwnershipEvent,
  PeerReport,
  RequestTopic,
  ViewMember,
} from '@turmerichoist/coordination';
import {
  fail,
  NEVER,
  type AppError,
  type Configuration,
  type MemberId,
  type Millis,
  type Result,
  type TeamName,
} from '@turmerichoist/core';
import type { FleetOwner, FleetWaitLookup } from '../fleet/index.js';
import type { IdempotencyGate } from '../idempotency/index.js';
import type { RequestPipeline } from '../requests/index.js';
import { poolRole, type PoolOwners, type TaskCommand } from '../tasks/index.js';
import { AUDIT_ROLE, type AuditTrail } from './audit-trail.js';
import type { ConfigurationService } from './configuration-service.js';
import type { Coordination } from './coordination.js';
import type { CoordinationListener } from './coordination-listener.js';
import type { DemandReporter } from './demand-reporter.js';
import type { RolloutTracker } from './rollout.js';

/** The components of an entry that events of the coordination are passed to. */
export interface EntryParts {
  readonly pipeline: RequestPipeline;
  readonly coordination: Coordination;
  readonly configuration: ConfigurationService;
  readonly demandReporter: DemandReporter;
  readonly idempotencyGate: IdempotencyGate;
  readonly poolOwners: PoolOwners;
  readonly auditTrail: AuditTrail;
  readonly fleetOwner: FleetOwner;
  readonly fleetWaits: FleetWaitLookup;
  readonly rollout: RolloutTracker;
}

/** Passes events of the coordination on to the components of an entry. */
export class EntryEvents implements CoordinationListener {
  readonly #parts: EntryParts;
  #freshUntil: Millis = NEVER;
  /**
   * No order is sent to a worker after this time. It exceeds the session during a store outage,
   * when no other entry can become owner, since none can write.
   */
  #ownerUntil: Millis = NEVER;
  #sessionUntil: Millis = NEVER;
  #resolveUnitsReturned: () => void = () => undefined;

  constructor(parts: EntryParts) {
    this.#parts = parts;
  }

  /** Time until which the configuration is confirmed. */
  get freshUntil(): Millis {
    return this.#freshUntil;
  }

  /** Resolves when all quota units have been returned from now on. */
  whenUnitsReturned(): Promise<void> {
    return new Promise((resolve) => {
      this.#resolveUnitsReturned = resolve;
    });
  }

  onConfig(cfg: Configuration): void {
    const { pipeline, coordination, poolOwners, fleetOwner, configuration } = this.#parts;
    pipeline.configure(cfg);
    const pools = cfg.list('pool').map(({ name }) => poolRole(name));
    coordination.ownership.post({ type: 'roles', roles: [AUDIT_ROLE, ...pools] });
    poolOwners.post({ type: 'config-changed', cfg });
    fleetOwner.post({ type: 'config-changed', cfg });
    configuration.notifyListeners();
  }

  onFreshness(until: Millis): void {
    this.#freshUntil = until;
    this.#parts.pipeline.post({ type: 'freshness', until });
    this.#postFreshness();
  }

  onSession(validUntil: Millis, requestsUntil: Millis): void {
    this.#ownerUntil = requestsUntil;
    this.#sessionUntil = validUntil;
    this.#parts.auditTrail.sessionChanged(validUntil);
    this.#postFreshness();
  }

  onInstances(instances: readonly ListedInstance[]): void {
    this.#parts.pipeline.setListedInstances(instances);
  }

  onUnits(serial: number, units: ReadonlyMap<TeamName, number>, validUntil: Millis): void {
    this.#parts.demandReporter.grantsChanged(serial, units, validUntil);
  }

  onUnitsReturned(): void {
    this.#resolveUnitsReturned();
  }

  onView(members: readonly ViewMember[]): void {
    this.#parts.rollout.viewChanged(members);
  }

  onMembersRead({ rows, sentAt, live }: Extract<MemberWatchEvent, { type: 'members-read' }>): void {
    const { rollout, idempotencyGate, fleetWaits, pipeline } = this.#parts;
    rollout.recordRows(rows, sentAt, live);
    idempotencyGate.membersChanged(live);
    fleetWaits.membersChanged(live);
    pipeline.post({ type: 'members-changed', members: live });
  }

  onPeerReport(report: PeerReport): void {
    this.#parts.rollout.recordReport(report);
  }

  onBroadcast(from: MemberId, message: Broadcast): void {
    if (message.type === 'demand') {
      this.#parts.pipeline.post({ type: 'peer-demand', member: from, rows: message.rows });
    }
  }

  async onRequest(
    _from: MemberId,
    topic: RequestTopic,
    body: JsonValue,
  ): Promise<Result<JsonValue, AppError>> {
    switch (topic) {
      case 'idempotency':
        return this.#parts.idempotencyGate.handle(body);
      case 'submit': {
        // Peers are authenticated and send only commands that their own API has validated.
        const answer = await this.#parts.poolOwners.command(body as unknown as TaskCommand);
        return answer.map((value) => value as JsonValue);
      }
      case 'why':
        return this.#parts.fleetWaits.handle(body);
      default:
        return fail('unknown-route', topic);
    }
  }

  onOwnership(event: OwnershipEvent): void {
    const { poolOwners, auditTrail, fleetOwner } = this.#parts;
    poolOwners.post(event);
    auditTrail.ownershipChanged(event);
    fleetOwner.post(event);
  }

  onRefusal(record: AuditRecord): void {
    this.#parts.auditTrail.refused(record);
  }

  #postFreshness(): void {
    const { poolOwners, fleetOwner } = this.#parts;
    const [configUntil, ownerUntil] = [this.#freshUntil, this.#ownerUntil];
    poolOwners.post({ type: 'freshness', configUntil, ownerUntil });
    fleetOwner.post({ type: 'freshness', configUntil, ownerUntil: this.#sessionUntil });
  }
}
