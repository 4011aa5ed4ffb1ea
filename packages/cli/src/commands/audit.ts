import { Flags } from '@oclif/core';
import { BaseCommand } from '../base-command.js';

const FILTER_FLAGS = ['team', 'resource', 'actor', 'since', 'until', 'limit'] as const;

export default class Audit extends BaseCommand {
  static override description = 'Show who changed what, when, and what was refused.';

  static override flags = {
    team: Flags.string({ description: 'changes of this team' }),
    resource: Flags.string({ description: 'changes of this resource, as kind/name' }),
    actor: Flags.string({ description: 'changes by this operator' }),
    since: Flags.string({ description: 'from this time on (ISO 8601)' }),
    until: Flags.string({ description: 'up to this time (ISO 8601)' }),
    limit: Flags.string({ description: 'maximum number of records, newest first' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Audit);
    const query = new URLSearchParams();
    for (const name of FILTER_FLAGS) {
      const value = flags[name];
      if (value !== undefined) {
        query.set(name, value);
      }
    }
    this.show(
      this.unwrap(await this.client(flags).get(`/api/v1/audit?${query.toString()}`)),
      flags,
    );
  }
}
