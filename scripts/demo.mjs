// Installs the dependencies, builds, and runs a small system on embedded stand-ins.
import { prepare, run } from './prepare.mjs';

prepare();
run(process.execPath, ['packages/stand-ins/dist/demo/main.js', ...process.argv.slice(2)]);
