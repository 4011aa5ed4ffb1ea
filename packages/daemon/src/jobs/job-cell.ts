import { setMaxListeners } from 'node:events';
import {
  JobDirectory,
  SeededRandom,
  type AppError,
  type CallerLimits,
  type Clock,
  type Incarnation,
  type MemberId,
  type Millis,
  type Random,
  type Result,
} from '@turmerichoist/core';
import {
  LeaderElector,
  OutcomeResolvingStore,
  leaderCapacity,
  type ChangeFeed,
  type ContactState,
  type JsonValue,
  type LeaderEvent,
  type LeaderPublication,
  type LeaderResources,
  type LeaderTerm,
  type RouteChange,
  type StoreCallStats,
  type StoreContactEvent,
  type TableStore,
} from '@turmerichoist/coordination';
import { Actor, sleep, type ActorContext, type Metrics } from '@turmerichoist/runtime';
import { EMPTY_BULLETIN, withoutCounts, type Bulletin } from './bulletin.js';
import { INTAKE_PART_NAMES, JobIntake } from './intake.js';
import { JobOwner } from './job-owner.js';
import { JobService } from './job-service.js';
import { LoadReporter } from './load-reporter.js';
import type {
  CallHead,
  CallerTables,
  ExecutorConnector,
  InstanceFleet,
  IntakeFeedOpener,
  JobCall,
  JobReply,
  OperatorView,
  RowCodec,
} from './ports.js';
import { WaveWindows } from './wave-windows.js';

/** The load balancer sends no more connections after two failed probes, one second apart. */
const DRAIN_MS: Millis = 2_500;

export interface JobCellOptions {
  readonly member: MemberId;
  readonly incarnation: Incarnation;
  /** What this member has for leading the cell. */
  readonly resources: LeaderResources;
  /** The rows of the leadership, whose calls must not wait for or back off with any others. */
  readonly leadership: TableStore;
  /** The leader's own tables: progress and waves. */
  readonly cell: TableStore & ChangeFeed;
  readonly callerTables: CallerTables;
  readonly openIntakeFeed: IntakeFeedOpener;
  /** Tables that the platform and its operators share. */
  readonly shared: TableStore & ChangeFeed;
  readonly connector: ExecutorConnector;
  readonly fleet: InstanceFleet;
  readonly rowCodec: RowCodec;
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly storeCalls: StoreCallStats;
  readonly newId: () => string;
  /** Longest lease that executors accept. */
  readonly maxLeaseMs: Millis;
  /** Time for which orders of two holders to one instance conflict. */
  readonly orderHandoverMs: Millis;
}

export type CellMessage =
  | LeaderEvent
  | StoreContactEvent
  | RouteChange
  | {
      readonly type: 'view';
      readonly view: OperatorView;
      /** When the read was sent that preceded the one of the view; undefined for the first. */
      readonly readBefore: Millis | undefined;
    }
  | { readonly type: 'superseded'; readonly term: LeaderTerm };

/** One member of a cell: serves callers, and runs the cell's `JobOwner` while it is the leader. */
export class JobCell extends Actor<CellMessage> {
  readonly #options: JobCellOptions;
  readonly #service: JobService;
  readonly #elector: LeaderElector;
  readonly #loadReporter: LoadReporter;
  readonly #waveWindows = new WaveWindows();
  #view: OperatorView = { config: undefined, zonesOut: new Set(), waves: [] };
  #owner: { readonly owner: JobOwner; readonly abort: () => void } | undefined;
  /** Latest bulletin of the current leader, which may be this member. */
  #bulletin: Bulletin = EMPTY_BULLETIN;
  /** Whether the store answers this member. */
  #contact: ContactState = 'in-touch';
  #stopping = false;

  constructor(options: JobCellOptions, context: ActorContext) {
    super('cell', context);
    this.#options = options;
    const { member, incarnation, leadership, callerTables, clock, random, metrics, newId } =
      options;
    const intake = new JobIntake({ tables: callerTables, clock, random, newId }, context);
    const { log, signal } = context;
    this.#service = new JobService({
      intake,
      cell: callerTables.cell,
      clock,
      random,
      log,
      metrics,
      signal,
    });
    this.#elector = new LeaderElector(
      {
        member,
        incarnation,
        capacity: leaderCapacity(options.resources),
        store: leadership,
        clock,
        random,
        newId,
        listener: this,
        bulletin: () => this.#bulletinToPublish(),
      },
      context,
    );
    this.#loadReporter = new LoadReporter(
      {
        clock,
        metrics,
        storeCalls: options.storeCalls,
        service: () => this.#service.takeLoad(),
        owner: () => this.#owner?.owner.takeLoad(),
      },
      context,
    );
  }

  /** Whether the load balancer is to send callers here. */
  get ready(): boolean {
    return this.keepsCallers && this.#service.ready;
  }

  /** Whether callers that are connected are served best here; otherwise they are to reconnect. */
  get keepsCallers(): boolean {
    return !this.#stopping && this.#contact !== 'lost';
  }

  start(): void {
    this.#elector.start();
    this.#loadReporter.start();
  }

  /** The limits of requests in the configuration in force. */
  get limits(): CallerLimits {
    return this.#service.limits;
  }

  /** Checks a call for one job before its body is read. */
  check(head: CallHead): Result<unknown, AppError> {
    return this.#service.checkJob(head);
  }

  handle(call: JobCall): Promise<Result<JobReply, AppError>> {
    return this.#service.handle(call);
  }

  /** Reports not ready and gives up the leadership; resolves when no new connections come in. */
  async stop(): Promise<void> {
    this.#stopping = true;
    await new Promise<void>((resolve) => {
      this.#elector.post({ type: 'stop', done: resolve });
    });
    await sleep(DRAIN_MS, this.signal);
  }

  protected receive(message: CellMessage): void {
    switch (message.type) {
      case 'contact':
        this.#contact = message.state;
        this.#service.setReachable(message.state === 'in-touch');
        return;
      case 'route':
        // What was under way on the former route has failed; the lease must not end meanwhile.
        this.#elector.post({ type: 'renew' });
        this.#elector.post({ type: 'poll' });
        return;
      case 'view':
        this.#setView(message.view, message.readBefore);
        return;
      case 'published':
        this.#onPublished(message);
        return;
      case 'elected':
        this.#startTerm(message.term);
        return;
      case 'deposed':
        this.#endTerm();
        return;
      case 'superseded':
        this.log.warn('superseded', { epoch: message.term.epoch });
        this.#endTerm();
    }
  }

  #setView(requested: OperatorView, readBefore: Millis | undefined): void {
    const present = this.#view.config;
    const view = { ...requested, waves: this.#waveWindows.apply(requested.waves, readBefore) };
    const older = (view.config?.revision ?? -1) < (present?.revision ?? -1);
    this.#view = older ? { ...view, config: present } : view;
    const { config } = this.#view;
    if (config !== undefined && config !== present) {
      this.#service.setDirectory(new JobDirectory(config));
    }
    this.#owner?.owner.setView(this.#view);
  }

  #bulletinToPublish(): JsonValue {
    const bulletin = this.#owner?.owner.bulletin ?? withoutCounts(this.#bulletin);
    return bulletin as unknown as JsonValue;
  }

  #onPublished({ bulletin, epoch, beat, sentAt }: LeaderPublication): void {
    this.#bulletin = bulletin as unknown as Bulletin;
    const { waiting, workAhead } = this.#bulletin;
    this.#service.observePublication({ epoch, beat, waiting, workAhead, sentAt });
  }

  #startTerm(term: LeaderTerm): void {
    this.#endTerm();
    const { member, connector, fleet, rowCodec, clock, metrics, newId } = this.#options;
    const { cell, openIntakeFeed, shared, maxLeaseMs, orderHandoverMs } = this.#options;
    const controller = new AbortController();
    const signal = AbortSignal.any([this.signal, controller.signal]);
    // The calls that a new owner makes at once exceed the number for which Node.js warns of a leak.
    setMaxListeners(0, signal);
    const owner = new JobOwner(
      {
        member,
        term,
        mayAct: () => this.#elector.isLeaderOf(term),
        cell,
        intake: openIntakeFeed(INTAKE_PART_NAMES),
        progress: this.#createResolvingStore(`${member}/owner`, 1),
        waves: this.#createResolvingStore(`${member}/waves`, 1),
        orders: this.#createResolvingStore(`${member}/orders`, 1),
        shared,
        connector,
        fleet,
        rowCodec,
        clock,
        metrics,
        newId,
        maxLeaseMs,
        orderHandoverMs,
        inheritedBulletin: this.#bulletin,
        onSuperseded: () => this.post({ type: 'superseded', term }),
      },
      { log: this.log, signal },
    );
    this.#owner = {
      owner,
      abort: () => {
        controller.abort();
      },
    };
    void owner.start(this.#view);
  }

  #endTerm(): void {
    this.#owner?.abort();
    this.#owner = undefined;
  }

  #createResolvingStore(memberId: string, logs: number): OutcomeResolvingStore {
    const { cell, random } = this.#options;
    const seeded = new SeededRandom(random.nextInt(2 ** 31));
    return new OutcomeResolvingStore({ store: cell, memberId, random: seeded, logs });
  }
}
