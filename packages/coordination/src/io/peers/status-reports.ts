import type { MemberId, Millis } from '@turmerichoist/core';
import {
  isFullMesh,
  type Heartbeat,
  type MemberStatus,
  type VouchedReport,
} from '../../state/peers/index.js';
import type { PeerMember, PeerMeshOptions, PeerReport } from './types.js';

const INITIAL_STATUS: MemberStatus = {
  revision: 0,
  storeReachable: false,
  storeForMs: 0,
  freshMs: 0,
  stopping: false,
};

/** The status of this member and the latest reports of its peers, which heartbeats carry. */
export class StatusReports {
  readonly #options: Pick<PeerMeshOptions, 'self' | 'clock'>;
  readonly #reports = new Map<MemberId, PeerReport>();
  #status = INITIAL_STATUS;
  #statusSetAt: Millis = 0;

  constructor(options: Pick<PeerMeshOptions, 'self' | 'clock'>) {
    this.#options = options;
  }

  setStatus(status: MemberStatus): void {
    this.#status = status;
    this.#statusSetAt = this.#options.clock.now();
  }

  /** Forgets the report of a member whose link was lost. */
  forget(member: MemberId): void {
    this.#reports.delete(member);
  }

  /** The reports in a heartbeat: that of the sender, and those that it vouches for. */
  receive(heartbeat: Heartbeat): readonly PeerReport[] {
    const { member, incarnation, echo, vouched, ...status } = heartbeat;
    if (echo === null) {
      return [];
    }
    const report = { member, incarnation, status, datedAt: echo };
    this.#reports.set(member, report);
    const forwarded = vouched.map(({ member: other, ageMs, storeReachable }) => ({
      member: other,
      status: { storeReachable },
      datedAt: echo - ageMs,
    }));
    return [report, ...forwarded];
  }

  /** The heartbeat for a peer whose latest heartbeat was sent at `echo` on its own clock. */
  heartbeat(echo: Heartbeat['echo'], members: ReadonlyMap<MemberId, PeerMember>): Heartbeat {
    const { member, incarnation } = this.#options.self;
    const now = this.#options.clock.now();
    const age = now - this.#statusSetAt;
    return {
      type: 'heartbeat',
      member,
      incarnation,
      ...this.#status,
      storeForMs: Math.floor(this.#status.storeForMs + age),
      freshMs: Math.max(0, Math.floor(this.#status.freshMs - age)),
      sentAt: Math.floor(now),
      echo,
      vouched: this.#vouchedReports(members, now),
    };
  }

  /**
   * Status reports of other members of this zone, forwarded for members that have no link to them
   * in a sparse mesh. Empty while the store is reachable.
   */
  #vouchedReports(
    members: ReadonlyMap<MemberId, PeerMember>,
    now: Millis,
  ): readonly VouchedReport[] {
    if (this.#status.storeReachable || isFullMesh(members.size + 1)) {
      return [];
    }
    const { zone } = this.#options.self;
    return [...this.#reports.values()]
      .filter(({ member }) => members.get(member)?.zone === zone)
      .map(({ member, status, datedAt }) => ({
        member,
        ageMs: Math.max(0, Math.ceil(now - datedAt)),
        storeReachable: status.storeReachable,
      }));
  }
}
