import { StateCommand } from '../../state-command.js';

export default class PlanAbort extends StateCommand {
  static override description = 'Abort a maintenance plan.';

  protected override readonly kind = 'plan';
  protected override readonly change = { state: 'aborted' };
  protected override readonly question = 'Abort plan';
}
