import { StateCommand } from '../state-command.js';

export default class Drain extends StateCommand {
  static override description = 'Cordon an instance and drain it as its budget allows.';

  protected override readonly kind = 'instance';
  protected override readonly change = { cordoned: true };
  protected override readonly question = 'Drain instance';
}
