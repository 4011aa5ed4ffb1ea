import { readFile } from 'node:fs/promises';
import { createInterface } from 'node:readline/promises';
import { Command, Flags } from '@oclif/core';
import type { Result } from '@turmerichoist/core';
import { parseAllDocuments } from 'yaml';
import { ApiClient, EXIT, exitCodeOf, type CallFailure } from './client/index.js';
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
      description: 'form of the output',
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

  /** The value of a successful call; otherwise says why and ends with its exit code. */
  protected unwrap<T>(answer: Result<T, CallFailure>): T {
    if (answer.isOk()) {
      return answer.value;
    }
    const { error, text, detail, nextStep } = answer.error;
    this.logToStderr(`${error}: ${text}${detail === undefined ? '' : ` (${detail})`}`);
    this.logToStderr(`Next step: ${nextStep}`);
    this.exit(exitCodeOf(answer.error));
  }

  /** Asks before a destructive act. Without a terminal, `--yes` is required. */
  protected async confirm(question: string, yes: boolean): Promise<void> {
    if (yes) {
      return;
    }
    if (!process.stdin.isTTY) {
      this.logToStderr(`${question} Repeat the command with --yes to confirm.`);
      this.exit(EXIT.usage);
    }
    const prompt = createInterface({ input: process.stdin, output: process.stderr });
    const answer = await prompt.question(`${question} [y/N] `);
    prompt.close();
    if (!/^y(es)?$/i.test(answer.trim())) {
      this.exit(EXIT.failed);
    }
  }

  /** Reads the YAML documents of a file, or of standard input for `-`. */
  protected async documents(file: string): Promise<readonly unknown[]> {
    const text = await readFile(file === '-' ? '/dev/stdin' : file, 'utf8').catch(
      (err: unknown) => {
        this.logToStderr(`cannot read ${file}: ${String(err)}`);
        this.exit(EXIT.usage);
      },
    );
    const parsed = parseAllDocuments(text);
    const list = Array.isArray(parsed) ? parsed : [];
    const faults = list.flatMap((doc) => doc.errors.map((err) => err.message));
    if (faults.length > 0) {
      this.logToStderr(faults.join('\n'));
      this.exit(EXIT.usage);
    }
    return list.map((doc) => doc.toJS() as unknown).filter((value) => value !== null);
  }
}
