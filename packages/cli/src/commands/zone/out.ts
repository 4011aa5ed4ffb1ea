import { ResourceChangeCommand } from '../../resource-change-command.js';

export default class ZoneOut extends ResourceChangeCommand {
  static override description = 'Take an availability zone out: no task starts there any more.';

  protected override readonly kind = 'zone';
  protected override readonly change = { state: 'out' };
  protected override readonly confirmQuestion = 'Take out availability zone';
}
