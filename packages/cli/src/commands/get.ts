import { Args } from '@oclif/core';
import { BaseCommand } from '../base-command.js';

export default class Get extends BaseCommand {
  static override description = 'List resources, or show one.';

  static override args = {
    kind: Args.string({ description: 'kind of resource' }),
    name: Args.string({ description: 'name of the resource' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(Get);
    const path = [args.kind, args.name].filter((part) => part !== undefined).join('/');
    const suffix = path === '' ? '' : `/${path}`;
    this.show(this.unwrap(await this.client(flags).get(`/api/v1/resources${suffix}`)), flags);
  }
}
