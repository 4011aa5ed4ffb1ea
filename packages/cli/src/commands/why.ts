import { Args } from '@oclif/core';
import { BaseCommand } from '../base-command.js';

export default class Why extends BaseCommand {
  static override description =
    'Explain what a task, instance, plan, team or pool waits for, and since when.';

  static override args = {
    kind: Args.string({ required: true, options: ['task', 'instance', 'plan', 'team', 'pool'] }),
    name: Args.string({ required: true, description: 'name or id' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Why);
    const path = `/api/v1/why/${args.kind}/${encodeURIComponent(args.name)}`;
    this.show(this.unwrap(await this.client(flags).get(path)), flags);
  }
}
