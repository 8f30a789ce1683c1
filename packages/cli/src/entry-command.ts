import { describeError } from '@currantgap/model';
import { Entry } from '@currantgap/entry';
import { parseEntrySettings } from '@currantgap/settings';
import { LineBuffer, setLogSink } from '@currantgap/telemetry';
import { Command, Option } from 'clipanion';
import { printFaults, readSource } from './client-command.ts';
import { ExitCode } from './exit-code.ts';

/** Runs an entry until SIGTERM or SIGINT, or until its peers declare it dead. */
export class EntryCommand extends Command {
  static override paths = [['entry']];
  static override usage = Command.Usage({ description: 'Run an entry process' });

  settings = Option.String('--settings', { required: true, description: 'Settings file in TOML' });

  async execute(): Promise<ExitCode> {
    const source = await readSource(this.settings);
    if (source.isErr()) return printFaults(this, [source.error]);
    const settings = parseEntrySettings(source.value);
    if (settings.isErr()) return printFaults(this, settings.error);
    const buffer = new LineBuffer(this.context.stdout);
    setLogSink((line) => {
      buffer.write(line);
    });
    const code = await this.#runEntry(new Entry(settings.value));
    buffer.flush();
    return code;
  }

  async #runEntry(entry: Entry): Promise<ExitCode> {
    return new Promise((resolve) => {
      const stop = (): void => {
        void entry.stop().then(() => {
          resolve(ExitCode.Done);
        });
      };
      process.once('SIGTERM', stop);
      process.once('SIGINT', stop);
      entry.setDeclaredDeadHandler(() => {
        entry.close();
        resolve(ExitCode.Unavailable);
      });
      entry.start().catch((error: unknown) => {
        const reason = describeError(error);
        this.context.stderr.write(`The entry cannot start: ${reason}. Correct its settings.\n`);
        entry.close();
        resolve(ExitCode.Invalid);
      });
    });
  }
}

/** Validates the settings file of an entry. */
export class SettingsCheckCommand extends Command {
  static override paths = [['settings', 'check']];
  static override usage = Command.Usage({ description: 'Check the settings file of an entry' });

  file = Option.String({ name: 'file' });

  async execute(): Promise<ExitCode> {
    const source = await readSource(this.file);
    if (source.isErr()) return printFaults(this, [source.error]);
    const settings = parseEntrySettings(source.value);
    if (settings.isErr()) return printFaults(this, settings.error);
    this.context.stdout.write(`${this.file}: valid\n`);
    return ExitCode.Done;
  }
}
