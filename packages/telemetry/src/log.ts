import './enable.ts';
import { Roarr } from 'roarr';

/** Fields of a log line. */
export type LogContext = Readonly<Record<string, string | number | boolean>>;

/** Writes log lines as JSON; each line has the fields of the logger and of the call. */
export class Logger {
  readonly #context: LogContext;

  constructor(context: LogContext = {}) {
    this.#context = context;
  }

  /** Creates a logger that adds `context` to the fields of this one. */
  createChild(context: LogContext): Logger {
    return new Logger({ ...this.#context, ...context });
  }

  /** Writes a line about normal operation. */
  writeInfo(message: string, context: LogContext = {}): void {
    Roarr.info({ ...this.#context, ...context }, message);
  }

  /** Writes a line that needs the attention of an operator. */
  writeWarning(message: string, context: LogContext = {}): void {
    Roarr.warn({ ...this.#context, ...context }, message);
  }

  /** Writes a line about a failure. */
  writeError(message: string, context: LogContext = {}): void {
    Roarr.error({ ...this.#context, ...context }, message);
  }
}

/** Callback that receives each log line without its newline. */
export type LogSink = (line: string) => void;

/** Redirects all log lines of this process to `sink`. */
export function setLogSink(sink: LogSink): void {
  (globalThis as unknown as { ROARR: { write: LogSink } }).ROARR.write = sink;
}
