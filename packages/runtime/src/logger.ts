import { createConsola, LogLevels, type ConsolaInstance, type ConsolaReporter } from 'consola';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';
export type LogFormat = 'json' | 'pretty';
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes structured log lines. Fields must not contain keys or other secrets. */
export interface Logger {
  debug(text: string, fields?: LogFields): void;
  info(text: string, fields?: LogFields): void;
  warn(text: string, fields?: LogFields): void;
  error(text: string, fields?: LogFields): void;
  /** Returns a logger whose lines carry the name of a component. */
  child(part: string): Logger;
}

export interface LoggerOptions {
  readonly level: LogLevel;
  readonly format: LogFormat;
  /** Writes one line, given without its line feed. Defaults to standard error. */
  readonly write?: (line: string) => void;
  /** Called for each line of level `error`, so that such lines can be counted. */
  readonly onError?: () => void;
}

/** Matches field names whose values are redacted. */
const SECRET_FIELD = /(secret|token|password|authorization|^key$)/i;
const REDACTED = '[redacted]';

function redact(fields: LogFields): LogFields {
  const entries = Object.entries(fields).map(([name, value]) => [
    name,
    SECRET_FIELD.test(name) ? REDACTED : value,
  ]);
  return Object.fromEntries(entries) as LogFields;
}

function writeToStderr(line: string): void {
  process.stderr.write(`${line}\n`);
}

function jsonReporter(write: (line: string) => void): ConsolaReporter {
  return {
    log(entry) {
      const [text, fields] = entry.args as [string, LogFields | undefined];
      const time = entry.date.toISOString();
      write(JSON.stringify({ time, level: entry.type, part: entry.tag, text, ...fields }));
    },
  };
}

function prettyReporter(write: (line: string) => void): ConsolaReporter {
  return {
    log(entry) {
      const [text, fields] = entry.args as [string, LogFields | undefined];
      const tail = fields === undefined ? '' : ` ${JSON.stringify(fields)}`;
      write(`${entry.date.toISOString()} ${entry.type.padEnd(5)} ${entry.tag}: ${text}${tail}`);
    },
  };
}

class ConsolaLogger implements Logger {
  readonly #consola: ConsolaInstance;

  constructor(consola: ConsolaInstance) {
    this.#consola = consola;
  }

  debug(text: string, fields: LogFields = {}): void {
    this.#consola.debug(text, redact(fields));
  }

  info(text: string, fields: LogFields = {}): void {
    this.#consola.info(text, redact(fields));
  }

  warn(text: string, fields: LogFields = {}): void {
    this.#consola.warn(text, redact(fields));
  }

  error(text: string, fields: LogFields = {}): void {
    this.#consola.error(text, redact(fields));
  }

  child(part: string): Logger {
    return new ConsolaLogger(this.#consola.withTag(part));
  }
}

/** Creates the root logger of a process. */
export function createLogger(options: LoggerOptions): Logger {
  const write = options.write ?? writeToStderr;
  const reporter = options.format === 'json' ? jsonReporter(write) : prettyReporter(write);
  const { onError } = options;
  const errorReporter: ConsolaReporter = {
    log: ({ type }) => {
      if (type === 'error') {
        onError?.();
      }
    },
  };
  const consola = createConsola({
    level: LogLevels[options.level],
    reporters: onError === undefined ? [reporter] : [reporter, errorReporter],
    throttle: 0,
  });
  return new ConsolaLogger(consola);
}

/** A logger that discards all lines. */
export const silentLogger: Logger = createLogger({
  level: 'error',
  format: 'json',
  write: () => undefined,
});
