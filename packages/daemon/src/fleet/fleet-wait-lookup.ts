import type { JsonValue } from '@turmerichoist/coordination';
import {
  fail,
  type AppError,
  type MemberId,
  type Millis,
  type Result,
  type WaitSubject,
} from '@turmerichoist/core';
import { z } from 'zod';
import type { AskPeer } from '../peers/index.js';
import type { FleetOwner } from './fleet-owner.js';

/** Time-out of a request to another entry. */
const LOOKUP_TIMEOUT_MS: Millis = 2_000;

const body = z.object({ kind: z.enum(['plan', 'instance', 'pool']), name: z.string() });

/** Whether the fleet owner can explain waits of this kind. */
export function isFleetKind(kind: string): kind is WaitSubject['kind'] {
  return body.shape.kind.safeParse(kind).success;
}

export interface FleetWaitLookupOptions {
  readonly self: MemberId;
  readonly owner: Pick<FleetOwner, 'why'>;
  readonly ask: AskPeer;
}

/** Looks up what a plan, instance or pool waits for, at the entry that owns it. */
export class FleetWaitLookup {
  readonly #options: FleetWaitLookupOptions;
  #members: readonly MemberId[] = [];

  constructor(options: FleetWaitLookupOptions) {
    this.#options = options;
  }

  membersChanged(members: readonly MemberId[]): void {
    this.#members = members;
  }

  /**
   * Handles a request of another entry, for what this one owns. Errors: `not-found`,
   * `bad-document`.
   */
  handle(raw: unknown): Result<JsonValue, AppError> {
    const parsed = body.safeParse(raw);
    return parsed.success
      ? this.#options.owner.why(parsed.data.kind, parsed.data.name)
      : fail('bad-document', 'why');
  }

  /** Asks this entry first, then all others. Errors: `not-found`. */
  async find(
    kind: WaitSubject['kind'],
    name: string,
    signal: AbortSignal,
  ): Promise<Result<JsonValue, AppError>> {
    const { self, owner, ask } = this.#options;
    const own = owner.why(kind, name);
    if (own.isOk()) {
      return own;
    }
    const others = this.#members.filter((member) => member !== self);
    const answers = await Promise.all(
      others.map((member) => ask(member, { kind, name }, LOOKUP_TIMEOUT_MS, signal)),
    );
    return answers.find((answer) => answer.isOk()) ?? own;
  }
}
