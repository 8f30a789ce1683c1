import { createFault, FaultKind, formatFault, type Fault } from '@currantgap/model';
import { parseNodeSettings, type NodeSettings } from '@currantgap/platform-adapter';
import type { Logger } from '@currantgap/telemetry';
import { err, type Result } from 'neverthrow';
import { readFileSync } from 'node:fs';

/** Milliseconds between looks at the file, which may change without a signal. */
const LOOK_PERIOD_MS = 1_000;

/** Reads and checks a settings file. */
export function readSettingsFile(path: string): Result<NodeSettings, Fault[]> {
  try {
    return parseNodeSettings(readFileSync(path, 'utf8'));
  } catch {
    const message = `The settings file ${path} cannot be read.`;
    return err([createFault(FaultKind.InvalidSettings, message, 'Create it.')]);
  }
}

/** Watches a settings file; a changed file that is valid is taken up. */
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

  get current(): NodeSettings {
    return this.#current;
  }

  /** Looks at the file again and again, and at once on SIGHUP. */
  watch(): void {
    this.#timer = setInterval(() => {
      this.refresh();
    }, LOOK_PERIOD_MS);
    process.on('SIGHUP', () => {
      this.refresh();
    });
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Takes up the file if it has changed. */
  refresh(): void {
    const text = this.#readText();
    if (text === this.#text) return;
    this.#text = text;
    const parsed = parseNodeSettings(text);
    if (parsed.isErr()) {
      const faults = parsed.error.map(formatFault).join(' ');
      this.#logger.writeError('settings not taken', { faults });
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
