import { StateCommand } from '../../state-command.js';

export default class ZoneOut extends StateCommand {
  static override description = 'Take an availability zone out: no task starts there any more.';

  protected override readonly kind = 'zone';
  protected override readonly change = { state: 'out' };
  protected override readonly question = 'Take out availability zone';
}
