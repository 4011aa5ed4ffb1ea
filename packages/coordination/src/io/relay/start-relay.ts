import { Ok, type AppError, type Incarnation, type Result } from '@turmerichoist/core';
import type { Recipient, ActorContext } from '@turmerichoist/runtime';
import type { RelayCandidate } from '../../state/relay/index.js';
import { MemberDirectory, type MemberDirectoryOptions } from './member-directory.js';
import { RelayLinks, type RelayLinksOptions } from './relay-links.js';
import type { RouteChange, StoreRouter } from './store-router.js';

export interface RelayOptions
  extends
    Omit<MemberDirectoryOptions, 'log' | 'signal' | 'self'>,
    Pick<RelayLinksOptions, 'random' | 'metrics' | 'listen'> {
  readonly self: RelayCandidate & { readonly incarnation: Incarnation };
  readonly router: StoreRouter;
  /** Told of each change of the route. */
  readonly listener: Recipient<RouteChange>;
}

/**
 * Makes this member known to the others and lets its router relay calls; resolves once that is done,
 * which needs the store. Errors: `settings-invalid` when the peer listener can't be opened, after
 * which calls are not relayed.
 */
export async function startRelay(
  options: RelayOptions,
  context: ActorContext,
): Promise<Result<void, AppError>> {
  const { router, listener } = options;
  const directory = new MemberDirectory({ ...options, ...context });
  const secret = await directory.secret();
  if (secret === undefined) {
    return Ok(undefined);
  }
  const links = new RelayLinks(
    {
      ...options,
      secret,
      server: router.server,
      status: () => router.status,
      listener: router,
    },
    context,
  );
  const listening = await links.listen();
  if (listening.isErr()) {
    return listening;
  }
  router.start({ links, members: () => directory.members, listener });
  void directory.watch();
  await directory.announce();
  return Ok(undefined);
}
