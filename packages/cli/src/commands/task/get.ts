import { Args } from '@oclif/core';
import { BaseCommand } from '../../base-command.js';

export default class TaskGet extends BaseCommand {
  static override description = 'Show the state of a task.';

  static override args = {
    id: Args.string({ required: true, description: 'id of the task' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(TaskGet);
    const path = `/tasks/${encodeURIComponent(args.id)}`;
    this.show(this.unwrap(await this.client(flags).get(path)), flags);
  }
}
