import { createHash, randomBytes } from 'node:crypto';
import { BaseCommand } from '../../base-command.js';

const KEY_BYTES = 32;

export default class KeyCreate extends BaseCommand {
  static override description =
    'Make a new key. The SHA-256 goes into the team or the settings; the key goes to its user.';

  async run(): Promise<void> {
    const { flags } = await this.parse(KeyCreate);
    const key = randomBytes(KEY_BYTES).toString('base64url');
    const sha256 = createHash('sha256').update(key).digest('hex');
    this.show({ key, sha256 }, flags);
  }
}
