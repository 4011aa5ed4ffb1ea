import { createHash, randomBytes } from 'node:crypto';
import { BaseCommand } from '../../base-command.js';

const KEY_BYTES = 32;

export default class KeyCreate extends BaseCommand {
  static override description =
    'Create a key. Put its SHA-256 into the team or the settings and give the key to its user.';

  async run(): Promise<void> {
    const { flags } = await this.parse(KeyCreate);
    const key = randomBytes(KEY_BYTES).toString('base64url');
    const sha256 = createHash('sha256').update(key).digest('hex');
    this.show({ key, sha256 }, flags);
  }
}
