import { BaseCommand } from '../../base-command.js';

export default class RolloutStatus extends BaseCommand {
  static override description =
    'Show for each entry whether it has the newest configuration in force.';

  async run(): Promise<void> {
    const { flags } = await this.parse(RolloutStatus);
    this.show(this.unwrap(await this.client(flags).get('/api/v1/rollout')), flags);
  }
}
