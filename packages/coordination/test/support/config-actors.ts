import type { Clock, MemberId, Random, Revision } from '@turmerichoist/core';
import {
  ConfigReplica,
  ConfigWriter,
  OutcomeResolvingStore,
  type AuditRecord,
  type ConfigEvent,
  type ObjectStore,
  type TableStore,
} from '@turmerichoist/coordination';
import { silentLogger } from '@turmerichoist/runtime';

export const ZERO_JITTER: Random = { next: () => 0, nextInt: () => 0 };

export interface ConfigActors {
  readonly replica: ConfigReplica;
  readonly writer: ConfigWriter;
  /** Revisions in the order in which they were applied. */
  readonly revisions: Revision[];
  readonly refused: AuditRecord[];
}

/** Creates the configuration actors of one member, without timers. */
export function createConfigActors(
  memberId: MemberId,
  store: TableStore,
  objects: ObjectStore,
  clock: Clock,
  signal: AbortSignal,
): ConfigActors {
  const context = { log: silentLogger, signal };
  const revisions: Revision[] = [];
  const refused: AuditRecord[] = [];
  const post = (event: ConfigEvent): boolean => {
    if (event.type === 'config-changed') {
      revisions.push(event.cfg.revision);
    }
    return true;
  };
  const replica = new ConfigReplica({ store, objects, clock, listeners: [{ post }] }, context);
  let ids = 0;
  const writer = new ConfigWriter(
    {
      store: new OutcomeResolvingStore({ store, memberId, random: ZERO_JITTER }),
      clock,
      random: ZERO_JITTER,
      newId: () => `${memberId}-${(ids += 1)}`,
      refresh: () => replica.refresh(),
      refusalRecorder: { post: ({ record }) => refused.push(record) > 0 },
      pendingListener: { post: () => true },
      announce: () => Promise.resolve(),
    },
    context,
  );
  writer.post({ type: 'session', incarnation: 'i', validUntil: Infinity, requestsUntil: Infinity });
  return { replica, writer, revisions, refused };
}

/** Creates a team document; `requests` is its limit. */
export function team(name: string, requests: number, version?: Revision) {
  const spec = { share: 1, limit: { requests } };
  return { kind: 'team', name, spec, ...(version === undefined ? {} : { version }) };
}
