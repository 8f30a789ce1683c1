import type { Writable } from 'node:stream';

const FLUSH_PERIOD_MS = 100;
const MAXIMUM_BUFFERED_CHARACTERS = 65_536;

/** Buffers log lines and writes them in batches, since each write costs a system call. */
export class LineBuffer {
  readonly #output: Writable;
  #lines: string[] = [];
  #bufferedCharacters = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(output: Writable) {
    this.#output = output;
  }

  /** Adds a line, given without its newline, and flushes a full buffer. */
  write(line: string): void {
    this.#lines.push(line);
    this.#bufferedCharacters += line.length;
    if (this.#bufferedCharacters >= MAXIMUM_BUFFERED_CHARACTERS) this.flush();
    else
      this.#timer ??= setTimeout(() => {
        this.flush();
      }, FLUSH_PERIOD_MS);
  }

  /** Writes all buffered lines to the output. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#lines.length === 0) return;
    this.#output.write(`${this.#lines.join('\n')}\n`);
    this.#lines = [];
    this.#bufferedCharacters = 0;
  }
}
