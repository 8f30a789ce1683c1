import { appendFileSync, writeFileSync } from 'node:fs';

/** Writes what was sent, answered and run to a file, one line per event. */
export class Record {
  #path;
  #startedAt = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, '');
  }

  /** Milliseconds since the record was opened. */
  get now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** Adds a line with the time in milliseconds since the record was opened. */
  write(event, details = {}) {
    const fields = Object.entries(details).map(([name, value]) => `${name}=${value}`);
    appendFileSync(this.#path, `${[String(this.now).padStart(6), event, ...fields].join(' ')}\n`);
  }
}
