import { appendFileSync, writeFileSync } from 'node:fs';

/** Writes what was sent, answered and run to a file, a line each, with the time in milliseconds. */
export class Record {
  #path;
  #startedAt = performance.now();

  /** @param {string} path File that is replaced. */
  constructor(path) {
    this.#path = path;
    writeFileSync(path, '');
  }

  /** Milliseconds since the record was begun. */
  get now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** @param {string} text What happened. */
  write(text) {
    appendFileSync(this.#path, `${String(this.now).padStart(6)} ${text}\n`);
  }
}
