import { ResourceChangeCommand } from '../../resource-change-command.js';

export default class ZoneIn extends ResourceChangeCommand {
  static override description = 'Bring an availability zone back.';

  protected override readonly kind = 'zone';
  protected override readonly change = { state: 'in' };
  protected override readonly confirmQuestion = undefined;
}
