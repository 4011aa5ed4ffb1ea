import { Args, Flags } from '@oclif/core';
import { BaseCommand } from '../base-command.js';

export default class Delete extends BaseCommand {
  static override description = 'Delete a resource.';

  static override args = {
    kind: Args.string({ required: true, description: 'kind of resource' }),
    name: Args.string({ required: true, description: 'name of the resource' }),
  };

  static override flags = {
    yes: Flags.boolean({ char: 'y', description: 'do not ask for confirmation' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Delete);
    const client = this.client(flags);
    const { version } = this.unwrap(await client.getResource(args.kind, args.name));
    await this.confirm(`Delete ${args.kind}/${args.name}?`, flags.yes);
    const path = `/api/v1/resources/${args.kind}/${args.name}?version=${version}`;
    this.show(this.unwrap(await client.delete(path)), flags);
  }
}
