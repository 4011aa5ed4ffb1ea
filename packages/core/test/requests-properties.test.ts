import { afterAll, beforeAll, describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import {
  type AttemptResult,
  RequestDecider,
  type RequestDecision,
  type RequestEvent,
  SeededRandom,
  errorResponse,
  WORK_CLASSES,
} from '../src/index.js';
import { KEY, type ConfigurationOptions, buildConfiguration } from './requests-fixtures.js';

const SEED = 20_261_204;
const RUNS = 1_500;
const RESULTS: readonly AttemptResult['type'][] = [
  'answered',
  'not-sent',
  'refused',
  'failed',
  'timed-out',
  'cut',
];

/** Plain assertion, since `expect` would take most of the run time. */
function assertInvariant(invariant: string, holds: boolean): void {
  if (!holds) {
    throw new Error(`invariant violated: ${invariant}`);
  }
}

type Team = keyof typeof KEY;

interface TrackedRequest {
  readonly team: Team | undefined;
  readonly idempotent: boolean;
  upstream: string | undefined;
  /** Team whose unit is held by the running attempt. */
  unitHolder: Team | undefined;
  attempts: number;
  /** Upstreams on which the request may have run. */
  readonly mayHaveRunOn: Set<string>;
  mayHaveRun: boolean;
  outcomes: number;
}

/** Model of the inputs of one entry, independent of the code under test. Checks every decision. */
class DeciderModel {
  readonly #decider = new RequestDecider({ random: new SeededRandom(7), queueCapacity: 30 });
  readonly requests = new Map<string, TrackedRequest>();
  now = 0;
  sends = 0;
  retries = 0;
  #options: ConfigurationOptions = {};
  #revision = 0;
  #units = { a: 0, b: 0 };
  #grantedUntil = 0;
  #freshUntil = 0;
  readonly #upstreamStates = new Map<string, string>();

  handle(event: RequestEvent): void {
    for (const decision of this.#decider.handle(event, this.now)) {
      this.#check(decision);
    }
  }

  configure(options: ConfigurationOptions): void {
    this.#options = options;
    this.#revision += 1;
    this.handle({
      type: 'config-changed',
      cfg: buildConfiguration({ ...options, revision: this.#revision }),
    });
  }

  grant(a: number, b: number, ttl: number): void {
    this.#units = { a, b };
    this.#grantedUntil = this.now + ttl;
    const units = new Map(Object.entries(this.#units));
    this.handle({ type: 'grants-changed', units, validUntil: this.#grantedUntil });
  }

  confirm(ttl: number): void {
    this.#freshUntil = this.now + ttl;
    this.handle({ type: 'freshness', until: this.#freshUntil });
  }

  setUpstreamState(upstream: string, state: 'healthy' | 'suspect' | 'leaving'): void {
    this.#upstreamStates.set(upstream, state);
    this.handle({ type: 'upstream-state', upstream, state });
  }

  arrive(team: Team | undefined, idempotent: boolean, workClass: number, within: number): void {
    const id = String(this.requests.size);
    const fresh = { upstream: undefined, unitHolder: undefined, attempts: 0 } as const;
    this.requests.set(id, {
      team,
      idempotent,
      ...fresh,
      mayHaveRunOn: new Set(),
      mayHaveRun: false,
      outcomes: 0,
    });
    const arrival = {
      id,
      queue: 'q',
      workClass: WORK_CLASSES[workClass] ?? 'normal',
      idempotent,
      deadline: this.now + within,
      ...(team === undefined ? {} : { keySha256: KEY[team] }),
    };
    this.handle({ type: 'arrived', arrival });
  }

  endAttempt(pick: number, result: AttemptResult['type']): void {
    const running = [...this.requests].filter(([, req]) => req.upstream !== undefined);
    const [id, req] = running[pick % Math.max(1, running.length)] ?? [];
    if (id === undefined || req?.upstream === undefined) {
      return;
    }
    const upstream = req.upstream;
    req.upstream = undefined;
    req.unitHolder = undefined;
    if (result !== 'not-sent' && result !== 'refused') {
      req.mayHaveRun = true;
      req.mayHaveRunOn.add(upstream);
    }
    req.outcomes += result === 'answered' || result === 'cut' ? 1 : 0;
    this.handle({ type: 'attempt-ended', id, upstream, result: { type: result } });
  }

  cancel(pick: number): void {
    if (this.requests.size > 0) {
      this.handle({ type: 'cancelled', id: String(pick % this.requests.size) });
    }
  }

  /** Ends all running attempts and advances past all deadlines. */
  finishAll(): void {
    for (let round = 0; round < 100; round += 1) {
      this.endAttempt(0, 'answered');
    }
    this.now += 100_000;
    this.handle({ type: 'tick' });
  }

  #check(decision: RequestDecision): void {
    const req = this.requests.get(decision.id);
    if (req === undefined) {
      throw new Error(`decision for an unknown request ${decision.id}`);
    }
    assertInvariant('one outcome per request', req.outcomes === 0);
    if (decision.type === 'send') {
      this.#checkSend(req, decision);
    } else if (decision.type === 'refuse') {
      assertInvariant('one attempt at a time', req.upstream === undefined);
      const saysNotRun = errorResponse(decision.err.kind).outcome === 'not-run';
      assertInvariant(
        '"not run" is reported only if no attempt may have run',
        !(saysNotRun && req.mayHaveRun),
      );
      req.outcomes += 1;
    }
  }

  #checkSend(req: TrackedRequest, send: Extract<RequestDecision, { type: 'send' }>): void {
    assertInvariant('one attempt at a time', req.upstream === undefined);
    assertInvariant(
      'only idempotent requests are retried once they may have run',
      !req.mayHaveRun || req.idempotent,
    );
    assertInvariant(
      'no retry where the request may have run',
      !req.mayHaveRunOn.has(send.upstream),
    );
    assertInvariant('the deadline has not passed', send.deadline > this.now);
    assertInvariant('attempts are numbered consecutively', send.attempt === req.attempts + 1);
    this.#checkUpstream(send.upstream);
    if (this.#options.open !== true) {
      this.#checkTeam(req.team);
      req.unitHolder = req.team;
    }
    req.upstream = send.upstream;
    req.attempts += 1;
    this.sends += 1;
    this.retries += req.attempts > 1 ? 1 : 0;
  }

  #checkTeam(team: Team | undefined): void {
    assertInvariant(
      'the key of the team is not withdrawn',
      team !== undefined && !this.#options.withdrawn?.includes(team),
    );
    assertInvariant('the configuration is confirmed', this.#freshUntil > this.now);
    assertInvariant('the grant has not expired', this.#grantedUntil > this.now);
    const held = [...this.requests.values()].filter((each) => each.unitHolder === team).length;
    const units = team === undefined ? 0 : this.#units[team];
    assertInvariant(
      'a team stays within its units and its limit',
      held < Math.min(units, this.#options.limit ?? 100),
    );
  }

  #checkUpstream(name: string): void {
    const index = Number(name.slice(1));
    const out = this.#options.zoneOut === true && index % 2 === 1;
    const leaving = this.#options.leaving?.includes(index) ?? false;
    const healthy = (this.#upstreamStates.get(name) ?? 'healthy') === 'healthy';
    assertInvariant(
      'the upstream is healthy, not leaving, and its zone is in',
      healthy && !leaving && !out,
    );
  }
}

type Step = (model: DeciderModel) => void;

const small = fc.nat({ max: 4 });
const ttl = fc.constantFrom(0, 5, 50, 500, 5_000, 5_000);
const arrive: fc.Arbitrary<Step> = fc
  .tuple(
    fc.constantFrom<Team | undefined>('a', 'a', 'b', undefined),
    fc.boolean(),
    fc.nat({ max: 2 }),
    fc.constantFrom(5, 50, 500, 5_000),
  )
  .map(([team, idempotent, workClass, within]) => (model) => {
    model.arrive(team, idempotent, workClass, within);
  });
const end: fc.Arbitrary<Step> = fc
  .tuple(fc.nat({ max: 20 }), fc.constantFrom(...RESULTS))
  .map(([pick, result]) => (model) => {
    model.endAttempt(pick, result);
  });
const cancel: fc.Arbitrary<Step> = fc.nat({ max: 200 }).map((pick) => (model) => {
  model.cancel(pick);
});
const configure: fc.Arbitrary<Step> = fc
  .record({
    withdrawn: fc.subarray(['a', 'b']),
    leaving: fc.subarray([1, 2, 3]),
    zoneOut: fc.boolean(),
    open: fc.integer({ min: 0, max: 5 }).map((n) => n === 0),
    limit: fc.constantFrom(0, 2, 100),
  })
  .map((world) => (model) => {
    model.configure({ ...world, upstreams: 3 });
  });
const grant: fc.Arbitrary<Step> = fc.tuple(small, small, ttl).map(([a, b, forMs]) => (model) => {
  model.grant(a, b, forMs);
});
const confirm: fc.Arbitrary<Step> = ttl.map((forMs) => (model) => {
  model.confirm(forMs);
});
const signal: fc.Arbitrary<Step> = fc
  .tuple(fc.constantFrom('u1', 'u2', 'u3'), fc.constantFrom('healthy', 'suspect', 'leaving'))
  .map(([upstream, state]) => (model) => {
    model.setUpstreamState(upstream, state);
  });
const advance: fc.Arbitrary<Step> = fc.constantFrom(1, 10, 100, 1_000).map((ms) => (model) => {
  model.now += ms;
  model.handle({ type: 'tick' });
});
const stop: fc.Arbitrary<Step> = fc.constant((model) => {
  model.handle({ type: 'stopping' });
});

const steps = fc.array(
  fc.oneof(
    { arbitrary: arrive, weight: 40 },
    { arbitrary: end, weight: 30 },
    { arbitrary: cancel, weight: 4 },
    { arbitrary: configure, weight: 3 },
    { arbitrary: grant, weight: 8 },
    { arbitrary: confirm, weight: 5 },
    { arbitrary: signal, weight: 3 },
    { arbitrary: advance, weight: 12 },
    { arbitrary: stop, weight: 1 },
  ),
  { minLength: 40, maxLength: 160, size: 'max' },
);

describe('any interleaving of events', () => {
  const { stackTraceLimit } = Error;
  // Each `Err` captures a stack trace, which would take most of the run time.
  beforeAll(() => {
    Error.stackTraceLimit = 0;
  });
  afterAll(() => {
    Error.stackTraceLimit = stackTraceLimit;
  });

  test('violates no invariant and gives each request exactly one outcome', () => {
    let sends = 0;
    let retries = 0;
    fc.assert(
      fc.property(steps, (sequence) => {
        const model = new DeciderModel();
        model.configure({ upstreams: 3 });
        model.confirm(3_000);
        model.grant(3, 3, 3_000);
        for (const step of sequence) {
          step(model);
        }
        model.finishAll();
        const outcomes = [...model.requests.values()].map((req) => req.outcomes);
        expect(outcomes.every((count) => count === 1)).toBe(true);
        sends += model.sends;
        retries += model.retries;
      }),
      { seed: SEED, numRuns: RUNS },
    );
    // The sequences must include enough sends and retries to exercise the invariants.
    expect(sends).toBeGreaterThan(5 * RUNS);
    expect(retries).toBeGreaterThan(RUNS / 2);
  });
});
