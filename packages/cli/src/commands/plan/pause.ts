import { ResourceChangeCommand } from '../../resource-change-command.js';

export default class PlanPause extends ResourceChangeCommand {
  static override description = 'Pause a maintenance plan after its current wave.';

  protected override readonly kind = 'plan';
  protected override readonly change = { state: 'paused' };
  protected override readonly confirmQuestion = undefined;
}
