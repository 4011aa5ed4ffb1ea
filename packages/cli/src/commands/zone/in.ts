import { StateCommand } from '../../state-command.js';

export default class ZoneIn extends StateCommand {
  static override description = 'Bring an availability zone back.';

  protected override readonly kind = 'zone';
  protected override readonly change = { state: 'in' };
  protected override readonly question = undefined;
}
