import { Flags } from '@oclif/core';
import { BaseCommand } from '../base-command.js';
import { fileFlag } from '../file-flag.js';

export default class Apply extends BaseCommand {
  static override description = 'Apply the resources of a YAML file in one atomic change.';

  static override flags = {
    file: fileFlag,
    'dry-run': Flags.boolean({ description: 'check the change without making it' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Apply);
    const documents = await this.readDocuments(flags.file);
    const body = { documents, dryRun: flags['dry-run'] };
    this.show(this.unwrap(await this.client(flags).post('/api/v1/apply', body)), flags);
  }
}
