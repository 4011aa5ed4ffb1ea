import { fail, type AppError, type Result } from '@turmerichoist/core';
import { ListenerGuard } from '@turmerichoist/runtime';
import { OperatorApi, Operators } from '../api/index.js';
import { isFleetKind } from '../fleet/index.js';
import { HttpServer } from '../http/index.js';
import { TaskApi } from '../tasks/index.js';
import type { EntryComponents } from './entry-components.js';
import type { EntryOptions } from './entry-options.js';

/** Creates the HTTP server for the callers and operators of an entry. */
export function createEntryServer(
  components: EntryComponents,
  { settings, log, clock, metrics }: EntryOptions,
  signal: AbortSignal,
): HttpServer {
  const { configuration, pipeline, taskRouter } = components;
  const operators = new OperatorApi({
    access: configuration,
    operators: new Operators(settings.operators),
    why: (kind, name, until) => explainWait(components, kind, name, until),
    signal,
  });
  const tasks = new TaskApi({
    cfg: () => configuration.current(),
    isConfigFresh: () => components.ready,
    route: (command, until) => taskRouter.route(command, until),
    signal,
  });
  const { limits } = settings;
  return new HttpServer({
    guard: new ListenerGuard({ limits, clock, metrics, log, signal }),
    callers: (req, res, bodies) => pipeline.front.accept(req, res, bodies),
    tasks: (req, res, bodies) => tasks.handle(req, res, bodies),
    operators: (req, res, bodies) => operators.handle(req, res, bodies),
    ready: () => components.ready,
    onError: (err) => {
      log.error('request handler failed', { err: String(err) });
    },
  });
}

/** Asks the owner of a plan, instance, pool or task what it waits for. Errors: `not-found`. */
function explainWait(
  { fleetWaits, taskRouter }: EntryComponents,
  kind: string,
  name: string,
  signal: AbortSignal,
): Promise<Result<unknown, AppError>> {
  if (isFleetKind(kind)) {
    return fleetWaits.find(kind, name, signal);
  }
  const pool = name.split(':')[0] ?? '';
  return kind === 'task'
    ? taskRouter.route({ type: 'show', pool, id: name }, signal)
    : Promise.resolve(fail('not-found', `${kind}/${name}`));
}
