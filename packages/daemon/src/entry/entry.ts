import { setMaxListeners } from 'node:events';
import {
  fail,
  Ok,
  parseEndpoint,
  type AppError,
  type PoolName,
  type Result,
} from '@turmerichoist/core';
import type { HttpServer } from '../http/index.js';
import type { RequestPipeline } from '../requests/index.js';
import type { Coordination } from './coordination.js';
import { EntryComponents } from './entry-components.js';
import type { EntryOptions } from './entry-options.js';
import { createEntryServer } from './entry-server.js';
import { stopEntry } from './stop.js';

/** One entry: all components that `turmerichoistd` runs. */
export class Entry {
  readonly options: EntryOptions;
  readonly coordination: Coordination;
  readonly server: HttpServer;
  readonly pipeline: RequestPipeline;
  readonly #components: EntryComponents;
  readonly #stopController = new AbortController();

  constructor(options: EntryOptions) {
    this.options = options;
    const { signal } = this.#stopController;
    // Each component adds a listener to this signal, for which Node.js would warn of a leak.
    setMaxListeners(0, signal);
    this.#components = new EntryComponents(options, signal);
    this.coordination = this.#components.coordination;
    this.pipeline = this.#components.pipeline;
    this.server = createEntryServer(this.#components, options, signal);
  }

  /** Starts all components. Resolves with the address for callers. Errors: `settings-invalid`. */
  async start(): Promise<Result<string, AppError>> {
    const started = await this.coordination.start();
    if (started.isErr()) {
      return started;
    }
    const { demandReporter, auditTrail, fleetOwner } = this.#components;
    demandReporter.start();
    auditTrail.start();
    fleetOwner.start();
    const { host, port } = parseEndpoint(this.options.settings.listen);
    try {
      return Ok(await this.server.listen(host, port));
    } catch (err) {
      return fail('settings-invalid', `listen: ${String(err)}`);
    }
  }

  /** Whether the configuration is confirmed, so that callers may be routed to this entry. */
  get ready(): boolean {
    return this.#components.ready;
  }

  /** Whether this entry owns the pool now. */
  owns(pool: PoolName): boolean {
    return this.#components.poolOwners.owns(pool);
  }

  /** Stops gracefully: open requests finish within the time that the settings allow. */
  async stop(): Promise<void> {
    await stopEntry(this, this.#components.events.whenUnitsReturned());
    await this.abort();
  }

  /**
   * Stops at once, as a crash would: roles and grants are not released and open requests are
   * broken.
   */
  async abort(): Promise<void> {
    this.#stopController.abort();
    void this.server.close();
    this.server.destroy();
    await this.options.metrics.close();
  }
}
