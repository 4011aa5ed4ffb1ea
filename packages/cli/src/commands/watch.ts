import { Flags } from '@oclif/core';
import { BaseCommand } from '../base-command.js';

export default class Watch extends BaseCommand {
  static override description = 'Print configuration changes as they take effect.';

  static override flags = {
    after: Flags.integer({ description: 'revision after which to start', default: 0 }),
    count: Flags.integer({ description: 'exit after this many changes' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Watch);
    let seen = 0;
    for await (const change of this.client(flags).streamLines(
      `/api/v1/watch?after=${flags.after}`,
    )) {
      this.log(JSON.stringify(change));
      seen += 1;
      if (seen === flags.count) {
        break;
      }
    }
  }
}
