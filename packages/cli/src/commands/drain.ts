import { ResourceChangeCommand } from '../resource-change-command.js';

export default class Drain extends ResourceChangeCommand {
  static override description =
    'Cordon an instance and drain it when its disruption budget allows.';

  protected override readonly kind = 'instance';
  protected override readonly change = { cordoned: true };
  protected override readonly confirmQuestion = 'Drain instance';
}
