// Prints the error table of docs/operators/errors.md from ERROR_TABLE of the built core.
import { errorsReference } from './reference-tables.mjs';
import { ERROR_TABLE } from '../packages/core/dist/errors/kinds.js';

process.stdout.write(`${errorsReference(ERROR_TABLE)}\n`);
