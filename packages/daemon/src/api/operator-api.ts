import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  appError,
  checkConfiguration,
  RESOURCE_KINDS,
  type AppError,
  type Resource,
  type ResourceKind,
  type Result,
} from '@turmerichoist/core';
import { z } from 'zod';
import { readJson, sendError, sendJson } from '../http/responses.js';
import { validateInput } from '../http/validate-input.js';
import type {
  ApplyOutcome,
  AuditFilter,
  CheckedOutcome,
  ConfigurationAccess,
} from './configuration-access.js';
import type { Operators } from './operators.js';
import { watch } from './watch.js';

const MAX_APPLY_BYTES = 4_194_304;
const DEFAULT_AUDIT_ROWS = 100;
const MAX_AUDIT_ROWS = 10_000;

/** Looks up what a task, plan, instance or pool waits for, and since when. */
export type WaitLookup = (
  kind: string,
  name: string,
  signal: AbortSignal,
) => Promise<Result<unknown, AppError>>;

export interface OperatorApiOptions {
  readonly access: ConfigurationAccess;
  readonly operators: Operators;
  readonly why: WaitLookup;
  readonly signal: AbortSignal;
}

const applyBody = z.strictObject({
  documents: z.array(z.unknown()).min(1),
  dryRun: z.boolean().default(false),
});

const isoTime = z.iso.datetime({ offset: true }).transform((text) => Date.parse(text));

const auditQuery = z.strictObject({
  team: z.string().optional(),
  resource: z.string().optional(),
  actor: z.string().optional(),
  since: isoTime.optional(),
  until: isoTime.optional(),
  limit: z.coerce.number().int().min(1).max(MAX_AUDIT_ROWS).default(DEFAULT_AUDIT_ROWS),
});

const watchQuery = z.strictObject({ after: z.coerce.number().int().min(0).default(0) });
const versionQuery = z.strictObject({ version: z.coerce.number().int().min(1) });

interface OperatorCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly actor: string;
  /** Segments of the path below `/api/v1`. */
  readonly path: readonly string[];
  readonly query: Readonly<Record<string, string>>;
}

/** Serves the operator API below `/api/v1`. */
export class OperatorApi {
  readonly #options: OperatorApiOptions;

  constructor(options: OperatorApiOptions) {
    this.#options = options;
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const actor = this.#options.operators.authenticate(req.headers);
    if (actor.isErr()) {
      sendError(res, actor.error);
      return;
    }
    const url = new URL(req.url ?? '/', 'http://entry');
    const path = url.pathname.split('/').slice(3).map(decodeURIComponent);
    const query = Object.fromEntries(url.searchParams);
    await this.#route({ req, res, actor: actor.value, path, query });
  }

  async #route(call: OperatorCall): Promise<void> {
    const route = `${call.req.method ?? 'GET'} ${call.path[0] ?? ''}`;
    switch (route) {
      case 'GET resources':
        this.#read(call);
        break;
      case 'DELETE resources':
        await this.#remove(call);
        break;
      case 'POST apply':
        await this.#apply(call);
        break;
      case 'GET watch':
        this.#watch(call);
        break;
      case 'GET audit':
        await this.#audit(call);
        break;
      case 'GET rollout':
        sendResult(call, await this.#options.access.rollout(this.#options.signal));
        break;
      case 'GET why':
        sendResult(call, await this.#why(call));
        break;
      default:
        sendError(call.res, appError('unknown-route', route));
    }
  }

  #read(call: OperatorCall): void {
    const [, kind, name] = call.path;
    const cfg = this.#options.access.current();
    if (kind === undefined) {
      sendJson(call.res, 200, cfg.all().map(toSummary));
    } else if (!isResourceKind(kind)) {
      sendError(call.res, appError('not-found', `there is no kind ${kind}`));
    } else if (name === undefined) {
      sendJson(call.res, 200, cfg.list(kind));
    } else {
      const resource = cfg.get(kind, name);
      if (resource === undefined) {
        sendError(call.res, appError('not-found', `${kind}/${name}`));
      } else {
        sendJson(call.res, 200, resource);
      }
    }
  }

  async #remove(call: OperatorCall): Promise<void> {
    const [, kind = '', name = ''] = call.path;
    const query = validateInput(versionQuery, call.query);
    if (query.isErr()) {
      sendError(call.res, query.error);
    } else if (!isResourceKind(kind)) {
      sendError(call.res, appError('not-found', `there is no kind ${kind}`));
    } else {
      const { access, signal } = this.#options;
      const { version } = query.value;
      sendResult(call, await access.remove(kind, name, version, call.actor, signal));
    }
  }

  async #apply(call: OperatorCall): Promise<void> {
    const json = await readJson(call.req, MAX_APPLY_BYTES);
    const body = json.andThen((value) => validateInput(applyBody, value));
    if (body.isErr()) {
      sendError(call.res, body.error);
      return;
    }
    const { documents, dryRun } = body.value;
    const { access, signal } = this.#options;
    const outcome = await access.apply(documents, call.actor, dryRun, signal);
    sendResult(call, dryRun ? outcome.map((value) => this.#check(value)) : outcome);
  }

  /** Adds the findings about the configuration that the change would lead to. */
  #check(outcome: ApplyOutcome): CheckedOutcome {
    const next = this.#options.access.current().with(outcome.revision, outcome.changes);
    return { ...outcome, warnings: checkConfiguration(next) };
  }

  #watch(call: OperatorCall): void {
    const query = validateInput(watchQuery, call.query);
    if (query.isErr()) {
      sendError(call.res, query.error);
      return;
    }
    watch(this.#options.access, query.value.after, call.res, this.#options.signal);
  }

  async #audit(call: OperatorCall): Promise<void> {
    const query = validateInput(auditQuery, call.query);
    if (query.isErr()) {
      sendError(call.res, query.error);
      return;
    }
    const filter = withoutUndefined(query.value) as AuditFilter;
    sendResult(call, await this.#options.access.audit(filter, this.#options.signal));
  }

  async #why(call: OperatorCall): Promise<Result<unknown, AppError>> {
    const [, kind = '', name = ''] = call.path;
    return this.#options.why(kind, name, this.#options.signal);
  }
}

function toSummary(resource: Resource): Pick<Resource, 'kind' | 'name' | 'version'> {
  return { kind: resource.kind, name: resource.name, version: resource.version };
}

function isResourceKind(kind: string): kind is ResourceKind {
  return (RESOURCE_KINDS as readonly string[]).includes(kind);
}

function withoutUndefined(value: object): object {
  return Object.fromEntries(Object.entries(value).filter(([, field]) => field !== undefined));
}

function sendResult(call: OperatorCall, answer: Result<unknown, AppError>): void {
  if (answer.isOk()) {
    sendJson(call.res, 200, answer.value);
  } else {
    sendError(call.res, answer.error);
  }
}
