import { Args, Flags } from '@oclif/core';
import { BaseCommand } from '../../base-command.js';

export default class TaskCancel extends BaseCommand {
  static override description = 'Cancel tasks. A cancelled task never starts afterwards.';

  static override strict = false;

  static override args = {
    id: Args.string({ required: true, description: 'ids of the tasks' }),
  };

  static override flags = {
    yes: Flags.boolean({ char: 'y', description: 'do not ask for confirmation' }),
  };

  async run(): Promise<void> {
    const { argv, flags } = await this.parse(TaskCancel);
    await this.confirm(`Cancel ${argv.length} tasks?`, flags.yes);
    this.show(this.unwrap(await this.client(flags).post('/tasks/cancel', { ids: argv })), flags);
  }
}
