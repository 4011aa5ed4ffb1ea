import { createInterface } from 'node:readline/promises';
import { Command, Flags } from '@oclif/core';
import type { Result } from '@turmerichoist/core';
import { ApiClient, EXIT_CODES, exitCodeFor, type ApiError } from './client/index.js';
import { formatPosition, readDocumentFile } from './documents/index.js';
import { OUTPUT_FORMATS, render, type OutputFormat } from './output/index.js';

export interface CommonFlags {
  readonly server: string;
  readonly token: string;
  readonly output: string;
}

/** Flags and helpers that all commands share. */
export abstract class BaseCommand extends Command {
  static override baseFlags = {
    server: Flags.string({
      description: 'base URL of an entry',
      env: 'TURMERICHOIST_SERVER',
      default: 'http://127.0.0.1:8080',
    }),
    token: Flags.string({
      description: 'operator token, or team key for tasks',
      env: 'TURMERICHOIST_TOKEN',
      default: '',
    }),
    output: Flags.option({
      char: 'o',
      description: 'output format',
      options: OUTPUT_FORMATS,
      default: 'table',
    })(),
  };

  protected client(flags: CommonFlags): ApiClient {
    return new ApiClient(flags.server, flags.token);
  }

  protected show(value: unknown, flags: CommonFlags): void {
    this.log(render(value, flags.output as OutputFormat));
  }

  /** Returns the value of a successful request. Otherwise prints the error and exits. */
  protected unwrap<T>(result: Result<T, ApiError>): T {
    if (result.isOk()) {
      return result.value;
    }
    const { error, text, detail, nextStep } = result.error;
    this.logToStderr(`${error}: ${text}${detail === undefined ? '' : ` (${detail})`}`);
    this.logToStderr(`Next step: ${nextStep}`);
    this.exit(exitCodeFor(result.error));
  }

  /** Asks for confirmation of a destructive change. Without a terminal, `--yes` is required. */
  protected async confirm(question: string, yes: boolean): Promise<void> {
    if (yes) {
      return;
    }
    if (!process.stdin.isTTY) {
      this.logToStderr(`${question} Repeat the command with --yes to confirm.`);
      this.exit(EXIT_CODES.usage);
    }
    const prompt = createInterface({ input: process.stdin, output: process.stderr });
    const answer = await prompt.question(`${question} [y/N] `);
    prompt.close();
    if (!/^y(es)?$/i.test(answer.trim())) {
      this.exit(EXIT_CODES.failed);
    }
  }

  /** Reads the YAML documents of a file, or of standard input for `-`. */
  protected async readDocuments(file: string): Promise<readonly unknown[]> {
    const { documents, problems } = await readDocumentFile(file);
    if (problems.length > 0) {
      const lines = problems.map(
        ({ position, message }) => `${formatPosition(position)}: ${message}`,
      );
      this.logToStderr(lines.join('\n'));
      this.exit(EXIT_CODES.usage);
    }
    return documents.map(({ value }) => value);
  }
}
