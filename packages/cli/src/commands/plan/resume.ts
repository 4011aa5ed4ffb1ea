import { ResourceChangeCommand } from '../../resource-change-command.js';

export default class PlanResume extends ResourceChangeCommand {
  static override description = 'Resume a paused maintenance plan.';

  protected override readonly kind = 'plan';
  protected override readonly change = { state: 'running' };
  protected override readonly confirmQuestion = undefined;
}
