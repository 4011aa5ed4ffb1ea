import { BaseCommand } from '../base-command.js';
import { fileFlag } from '../file-flag.js';

export default class Diff extends BaseCommand {
  static override description = 'Show what applying a file would change.';

  static override flags = {
    file: fileFlag,
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Diff);
    const body = { documents: await this.readDocuments(flags.file), dryRun: true };
    this.show(this.unwrap(await this.client(flags).post('/api/v1/apply', body)), flags);
  }
}
