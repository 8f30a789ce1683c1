import { createFault, FaultKind, formatFault, type Fault } from '@currantgap/model';
import { parseNodeSettings, type NodeSettings } from '@currantgap/platform-adapter';
import type { Logger } from '@currantgap/telemetry';
import { err, type Result } from 'neverthrow';
import { readFileSync } from 'node:fs';

/** Milliseconds between checks of the file, which may change without a signal. */
const CHECK_INTERVAL_MS = 1_000;

/** Reads and validates a settings file. Errors: all faults, or one if the file cannot be read. */
export function readSettingsFile(path: string): Result<NodeSettings, Fault[]> {
  try {
    return parseNodeSettings(readFileSync(path, 'utf8'));
  } catch {
    const message = `The settings file ${path} cannot be read.`;
    return err([
      createFault(FaultKind.InvalidSettings, message, 'Check that it exists and is readable.'),
    ]);
  }
}

/** Watches a settings file and applies each valid change. */
export class SettingsFile {
  readonly #path: string;
  readonly #logger: Logger;
  #text: string;
  #current: NodeSettings;
  #timer: NodeJS.Timeout | undefined;

  constructor(path: string, current: NodeSettings, logger: Logger) {
    this.#path = path;
    this.#current = current;
    this.#logger = logger;
    this.#text = this.#readText();
  }

  /** The last valid settings. */
  get current(): NodeSettings {
    return this.#current;
  }

  /** Checks the file periodically, and at once on SIGHUP. */
  watch(): void {
    this.#timer = setInterval(() => {
      this.refresh();
    }, CHECK_INTERVAL_MS);
    process.on('SIGHUP', () => {
      this.refresh();
    });
  }

  /** Stops the periodic checks. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Applies the file if it has changed. Keeps the old settings if the new ones are invalid. */
  refresh(): void {
    const text = this.#readText();
    if (text === this.#text) return;
    this.#text = text;
    const parsed = parseNodeSettings(text);
    if (parsed.isErr()) {
      const faults = parsed.error.map(formatFault).join(' ');
      this.#logger.writeError('settings rejected', { faults });
      return;
    }
    this.#current = parsed.value;
    this.#logger.writeInfo('settings reloaded');
  }

  #readText(): string {
    try {
      return readFileSync(this.#path, 'utf8');
    } catch {
      return '';
    }
  }
}
