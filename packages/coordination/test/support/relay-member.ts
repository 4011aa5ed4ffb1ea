import { SeededRandom, type MemberId } from '@turmerichoist/core';
import { NoMetrics, SystemClock, silentLogger, type Recipient } from '@turmerichoist/runtime';
import {
  HttpTableStore,
  LeaderElector,
  RelayLinks,
  StoreContact,
  StoreRouter,
  type LeaderEvent,
  type LeaderTerm,
  type RelayCandidate,
  type RouteChange,
  type TableState,
  type TransportOptions,
} from '../../src/index.js';
import { MemberStore } from './member-store.js';

const SECRET = Buffer.from('a secret of the test deployment');

const clock = new SystemClock();

/** A member of a cell with its own way to a shared store, which relays store calls. */
export class RelayMember implements Recipient<RouteChange | LeaderEvent> {
  readonly member: MemberId;
  readonly front: MemberStore;
  readonly contact = new StoreContact();
  readonly routes: string[] = [];
  store!: HttpTableStore;
  router!: StoreRouter;
  links!: RelayLinks;
  candidate!: RelayCandidate;
  /** Members that this one may ask to relay. */
  relays: readonly RelayMember[] = [];
  term: LeaderTerm | undefined;
  #elector: LeaderElector | undefined;
  readonly #controller = new AbortController();
  #transactions = 0;

  constructor(member: MemberId, state: TableState) {
    this.member = member;
    this.front = new MemberStore(state);
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  get leads(): boolean {
    return this.term !== undefined && (this.#elector?.isLeaderOf(this.term) ?? false);
  }

  /** Opens the way to the store and the listener for other members. */
  async open(options: Partial<TransportOptions> = {}): Promise<void> {
    const { member, signal, contact } = this;
    const random = new SeededRandom(1);
    const log = silentLogger;
    const metrics = new NoMetrics();
    const url = await this.front.listen();
    const body = JSON.stringify({ keys: [] });
    const probe = { kind: 'read', method: 'POST', path: '/v1/read', body } as const;
    this.router = new StoreRouter({ url, probe, clock, metrics, log, signal });
    const limits = { callTimeoutMs: 1_200, backoffCapMs: 400, ...options };
    const routes = this.router;
    this.store = new HttpTableStore({ url, clock, random, signal, contact, routes, ...limits });
    const self = { member, zone: 'z1', capacity: 1, address: '', incarnation: `${member}-1` };
    this.links = new RelayLinks(
      {
        ...{ self, random, metrics, clock, secret: SECRET },
        listen: { host: '127.0.0.1', port: 0 },
        server: this.router.server,
        status: () => this.router.status,
        listener: this.router,
      },
      { log, signal },
    );
    const port = (await this.links.listen()).unwrap();
    this.candidate = { member, zone: 'z1', capacity: 1, address: `127.0.0.1:${port}` };
  }

  /** Lets the calls of this member be relayed by others. */
  relayThrough(members: readonly RelayMember[]): void {
    this.relays = members;
    const candidates = () => this.relays.map(({ candidate }) => candidate);
    this.router.start({ links: this.links, members: candidates, listener: this });
  }

  startElector(): void {
    const { member, signal } = this;
    this.#elector = new LeaderElector(
      {
        ...{ member, incarnation: `${member}-1`, capacity: 1, store: this.store, clock },
        random: new SeededRandom(1),
        newId: () => `${member}-${(this.#transactions += 1)}`,
        listener: this,
        bulletin: () => ({}),
      },
      { log: silentLogger, signal },
    );
    this.#elector.start();
  }

  put(key: string): ReturnType<HttpTableStore['commit']> {
    const writes = [{ key, value: 1 }];
    return this.store.commit({ txnId: key, conditions: [], writes }, this.signal);
  }

  post(event: RouteChange | LeaderEvent): boolean {
    if (event.type === 'route') {
      this.routes.push(event.route);
      this.#elector?.post({ type: 'renew' });
    } else if (event.type === 'elected') {
      this.term = event.term;
    } else if (event.type === 'deposed') {
      this.term = undefined;
    }
    return true;
  }

  stop(): void {
    this.#controller.abort();
    this.front.close();
  }
}
