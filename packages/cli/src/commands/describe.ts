import { Args } from '@oclif/core';
import { BaseCommand } from '../base-command.js';

export default class Describe extends BaseCommand {
  static override description = 'Show a resource, what it waits for and its last changes.';

  static override args = {
    kind: Args.string({ required: true, description: 'kind of resource' }),
    name: Args.string({ required: true, description: 'name of the resource' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Describe);
    const client = this.client(flags);
    const resource = this.unwrap(await client.getResource(args.kind, args.name));
    const why = await client.get(`/api/v1/why/${args.kind}/${args.name}`);
    const audit = await client.get(`/api/v1/audit?resource=${args.kind}/${args.name}&limit=10`);
    const output = flags.output === 'table' ? 'yaml' : flags.output;
    const value = { resource, why: why.unwrapOr(null), audit: audit.unwrapOr(null) };
    this.show(value, { ...flags, output });
  }
}
