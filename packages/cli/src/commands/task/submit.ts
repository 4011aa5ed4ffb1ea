import { randomUUID } from 'node:crypto';
import { Args, Flags } from '@oclif/core';
import { WORK_CLASSES } from '@turmerichoist/core';
import { BaseCommand } from '../../base-command.js';

export default class TaskSubmit extends BaseCommand {
  static override description = 'Submit a task with a team key.';

  static override args = {
    command: Args.string({ required: true, description: 'command that the worker runs' }),
  };

  static override flags = {
    pool: Flags.string({ required: true, description: 'pool that runs the task' }),
    id: Flags.string({
      description: 'id of the task; a task submitted again with the same id does not run again',
    }),
    class: Flags.option({ options: WORK_CLASSES, default: 'normal' as const })(),
    processors: Flags.integer({ default: 1 }),
    'memory-mb': Flags.integer({ default: 256 }),
    accelerators: Flags.integer({ default: 0 }),
    idempotent: Flags.boolean({ description: 'the task may run twice without harm' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(TaskSubmit);
    const body = {
      id: flags.id ?? randomUUID(),
      pool: flags.pool,
      class: flags.class,
      command: args.command,
      idempotent: flags.idempotent,
      resources: {
        processors: flags.processors,
        memoryMb: flags['memory-mb'],
        accelerators: flags.accelerators,
      },
    };
    this.show(this.unwrap(await this.client(flags).post('/tasks', body)), flags);
  }
}
