import { Args, Flags } from '@oclif/core';
import { BaseCommand, type CommonFlags } from '../../base-command.js';
import {
  CHECK_EXIT_CODES,
  FileVersion,
  ServerVersion,
  checkExitCode,
  checkFiles,
  renderReport,
  type CheckReport,
  type Comparison,
} from '../../config-check/index.js';
import { readDocumentFile } from '../../documents/index.js';

/** Value of `--against` for the entry that `--server` names. */
const SERVER = 'server';

export default class ConfigCheck extends BaseCommand {
  static override description =
    'Check YAML files of resources for errors, for entries without effect and for limits that ' +
    'contradict each other. Exit codes: 0 clean, 1 warnings with --strict, 2 errors.';

  static override args = {
    files: Args.string({
      multiple: true,
      required: true,
      description: 'YAML files, or - for standard input',
    }),
  };

  static override flags = {
    against: Flags.string({
      description: `version in force, to show differences: a file, or "${SERVER}" for --server`,
    }),
    complete: Flags.boolean({
      description: 'the files are the whole configuration: what they leave out is removed',
      dependsOn: ['against'],
    }),
    strict: Flags.boolean({ description: 'exit with 1 if there are warnings' }),
    json: Flags.boolean({ description: 'same as --output json' }),
  };

  async run(): Promise<void> {
    const { args, flags } = await this.parse(ConfigCheck);
    const comparison = await this.#comparison(flags.against, flags.complete, flags);
    // One after the other, so that the memory for reading is that of one file.
    const files = [];
    for (const file of args.files) {
      files.push(await readDocumentFile(file));
    }
    const report = checkFiles(files, comparison);
    this.#print(report, flags.json ? { ...flags, output: 'json' } : flags);
    this.exit(checkExitCode(report, flags.strict));
  }

  async #comparison(
    against: string | undefined,
    complete: boolean,
    flags: CommonFlags,
  ): Promise<Comparison | undefined> {
    if (against === undefined) {
      return undefined;
    }
    const source =
      against === SERVER ? new ServerVersion(this.client(flags)) : new FileVersion(against);
    const version = await source.read();
    if (version.isErr()) {
      this.logToStderr(`cannot read the version in force: ${version.error}`);
      this.exit(CHECK_EXIT_CODES.errors);
    }
    return { inForce: version.value, complete };
  }

  #print(report: CheckReport, flags: CommonFlags): void {
    if (flags.output === 'table') {
      this.log(renderReport(report));
    } else {
      this.show(report, flags);
    }
  }
}
