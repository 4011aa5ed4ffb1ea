import { Args, Flags } from '@oclif/core';
import { BaseCommand } from './base-command.js';
import { changeSpec, type SpecChange } from './change-spec.js';

/** Base class of commands that change some fields of one named resource. */
export abstract class ResourceChangeCommand extends BaseCommand {
  static override args = {
    name: Args.string({ required: true, description: 'name of the resource' }),
  };

  static override flags = {
    yes: Flags.boolean({ char: 'y', description: 'do not ask for confirmation' }),
    'dry-run': Flags.boolean({ description: 'check the change without making it' }),
  };

  protected abstract readonly kind: SpecChange['kind'];
  protected abstract readonly change: SpecChange['change'];
  /** Confirmation prompt, without the name; undefined for a change that is not destructive. */
  protected abstract readonly confirmQuestion: string | undefined;

  async run(): Promise<void> {
    const { args, flags } = await this.parse({
      args: ResourceChangeCommand.args,
      flags: { ...ResourceChangeCommand.flags, ...BaseCommand.baseFlags },
    });
    const dryRun = flags['dry-run'];
    if (this.confirmQuestion !== undefined && !dryRun) {
      await this.confirm(`${this.confirmQuestion} ${args.name}?`, flags.yes);
    }
    const { kind, change } = this;
    const result = await changeSpec(this.client(flags), {
      kind,
      name: args.name,
      change,
      dryRun,
    });
    this.show(this.unwrap(result), flags);
  }
}
