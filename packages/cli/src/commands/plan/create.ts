import { Args, Flags } from '@oclif/core';
import { BaseCommand } from '../../base-command.js';

export default class PlanCreate extends BaseCommand {
  static override description = 'Create a maintenance plan.';

  static override args = {
    name: Args.string({ required: true, description: 'name of the plan' }),
  };

  static override flags = {
    rack: Flags.string({ multiple: true, description: 'rack to maintain' }),
    zone: Flags.string({ multiple: true, description: 'availability zone to maintain' }),
    label: Flags.string({ multiple: true, description: 'label to select by, as name=value' }),
    parallel: Flags.integer({ default: 1, description: 'instances that may be down at once' }),
    'dry-run': Flags.boolean({ description: 'check the plan without creating it' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(PlanCreate);
    const labels = (flags.label ?? []).map((label) => label.split('=', 2) as [string, string]);
    const select = {
      ...(flags.rack === undefined ? {} : { racks: flags.rack }),
      ...(flags.zone === undefined ? {} : { zones: flags.zone }),
      ...(labels.length === 0 ? {} : { labels: Object.fromEntries(labels) }),
    };
    const spec = { select, maxParallel: flags.parallel };
    const document = { kind: 'plan', name: args.name, version: 0, spec };
    const body = { documents: [document], dryRun: flags['dry-run'] };
    this.show(this.unwrap(await this.client(flags).post('/api/v1/apply', body)), flags);
  }
}
