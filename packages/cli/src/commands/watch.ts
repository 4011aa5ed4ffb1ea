import { Flags } from '@oclif/core';
import { BaseCommand } from '../base-command.js';

export default class Watch extends BaseCommand {
  static override description = 'Print changes of the configuration as they come into force.';

  static override flags = {
    after: Flags.integer({ description: 'revision after which to start', default: 0 }),
    count: Flags.integer({ description: 'end after this many changes' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Watch);
    let seen = 0;
    for await (const change of this.client(flags).lines(`/api/v1/watch?after=${flags.after}`)) {
      this.log(JSON.stringify(change));
      seen += 1;
      if (seen === flags.count) {
        break;
      }
    }
  }
}
