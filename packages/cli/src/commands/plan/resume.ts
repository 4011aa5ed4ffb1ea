import { StateCommand } from '../../state-command.js';

export default class PlanResume extends StateCommand {
  static override description = 'Resume a paused maintenance plan.';

  protected override readonly kind = 'plan';
  protected override readonly change = { state: 'running' };
  protected override readonly question = undefined;
}
