import { ResourceChangeCommand } from '../../resource-change-command.js';

export default class PlanAbort extends ResourceChangeCommand {
  static override description = 'Abort a maintenance plan.';

  protected override readonly kind = 'plan';
  protected override readonly change = { state: 'aborted' };
  protected override readonly confirmQuestion = 'Abort plan';
}
