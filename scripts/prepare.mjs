// Installs the locked dependencies and builds, so that one command suffices on a fresh clone.
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

/** Runs a command in the repository and exits with its status if it fails. */
export function run(command, args, options = {}) {
  const { status } = spawnSync(command, args, { stdio: 'inherit', ...options });
  if (status !== 0) {
    process.exit(status ?? 1);
  }
}

export function prepare() {
  if (!existsSync('node_modules/.package-lock.json')) {
    run('npm', ['ci', '--prefer-offline', '--no-audit', '--no-fund', '--loglevel=error']);
  }
  run('npx', ['tsc', '-b']);
}
