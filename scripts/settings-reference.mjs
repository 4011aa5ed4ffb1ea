// Prints the settings table of docs/operators/settings.md from the schema of the built daemon.
import { settingsReference } from './reference-tables.mjs';
import { settingsSchema } from '../packages/daemon/dist/settings/schema.js';

process.stdout.write(`${settingsReference(settingsSchema)}\n`);
