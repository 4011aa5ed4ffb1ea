import type {
  AuditRecord,
  ListedInstance,
  MemberWatchEvent,
  OwnershipEvent,
  PeerListener,
  PeerReport,
  ViewMember,
} from '@turmerichoist/coordination';
import type { Clock, Configuration, Millis, Random, TeamName } from '@turmerichoist/core';
import type { ActorContext, Metrics } from '@turmerichoist/runtime';
import type { Settings } from '../settings/index.js';
import type { Platform } from './platform.js';

/** Receives events of the coordination components. Its methods must not block. */
export interface CoordinationListener extends Pick<PeerListener, 'onBroadcast' | 'onRequest'> {
  onConfig(cfg: Configuration): void;
  /** The configuration may be used until this time. */
  onFreshness(until: Millis): void;
  /** Under the outage rule, requests and renewals may continue until `requestsUntil`. */
  onSession(validUntil: Millis, requestsUntil: Millis): void;
  /** The platform's instance list was read. */
  onInstances(instances: readonly ListedInstance[]): void;
  onUnits(serial: number, units: ReadonlyMap<TeamName, number>, validUntil: Millis): void;
  onUnitsReturned(): void;
  onView(members: readonly ViewMember[]): void;
  onMembersRead(event: Extract<MemberWatchEvent, { type: 'members-read' }>): void;
  onPeerReport(report: PeerReport): void;
  onOwnership(event: OwnershipEvent): void;
  onRefusal(record: AuditRecord): void;
}

export interface CoordinationOptions {
  readonly settings: Settings;
  readonly context: ActorContext;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly newId: () => string;
  readonly platform: Platform;
  readonly listener: CoordinationListener;
}
