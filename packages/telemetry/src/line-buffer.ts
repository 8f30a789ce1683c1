import type { Writable } from 'node:stream';

const FLUSH_PERIOD_MS = 100;
const MAXIMUM_HELD_CHARACTERS = 65_536;

/** Gathers log lines and writes them together, since each write to the output costs a system call. */
export class LineBuffer {
  readonly #output: Writable;
  #lines: string[] = [];
  #heldCharacters = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(output: Writable) {
    this.#output = output;
  }

  /** Adds a line without its newline. */
  write(line: string): void {
    this.#lines.push(line);
    this.#heldCharacters += line.length;
    if (this.#heldCharacters >= MAXIMUM_HELD_CHARACTERS) this.close();
    else
      this.#timer ??= setTimeout(() => {
        this.close();
      }, FLUSH_PERIOD_MS);
  }

  /** Writes what is held. */
  close(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#lines.length === 0) return;
    this.#output.write(`${this.#lines.join('\n')}\n`);
    this.#lines = [];
    this.#heldCharacters = 0;
  }
}
