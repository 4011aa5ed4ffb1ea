import { Args, Flags } from '@oclif/core';
import { BaseCommand } from './base-command.js';
import { changeSpec, type SpecChange } from './change-spec.js';

/** A command that changes some fields of one named resource, after asking. */
export abstract class StateCommand extends BaseCommand {
  static override args = {
    name: Args.string({ required: true, description: 'name of the resource' }),
  };

  static override flags = {
    yes: Flags.boolean({ char: 'y', description: 'do not ask' }),
    'dry-run': Flags.boolean({ description: 'check the change without making it' }),
  };

  protected abstract readonly kind: SpecChange['kind'];
  protected abstract readonly change: SpecChange['change'];
  /** What is asked before the change; undefined when it destroys nothing. */
  protected abstract readonly question: string | undefined;

  async run(): Promise<void> {
    const { args, flags } = await this.parse({
      args: StateCommand.args,
      flags: { ...StateCommand.flags, ...BaseCommand.baseFlags },
    });
    const dryRun = flags['dry-run'];
    if (this.question !== undefined && !dryRun) {
      await this.confirm(`${this.question} ${args.name}?`, flags.yes);
    }
    const { kind, change } = this;
    const answer = await changeSpec(this.client(flags), { kind, name: args.name, change, dryRun });
    this.show(this.unwrap(answer), flags);
  }
}
