import { parseNodeSettings } from '@currantgap/platform-adapter';
import { runNode } from '@currantgap/node';
import { Command, Option } from 'clipanion';
import { printFaults, readSource } from './client-command.ts';
import { ExitCode } from './exit-code.ts';

/** Runs a node. Listed here for the help; `bin.ts` runs `node` without loading the commands. */
export class NodeCommand extends Command {
  static override paths = [['node']];
  static override usage = Command.Usage({
    description: 'Run a node; CURRANTGAP_SETTINGS names its settings file',
  });

  async execute(): Promise<number> {
    return runNode();
  }
}

/** Validates the settings file of a node. */
export class NodeCheckCommand extends Command {
  static override paths = [['node', 'check']];
  static override usage = Command.Usage({ description: 'Check the settings file of a node' });

  file = Option.String({ name: 'file' });

  async execute(): Promise<ExitCode> {
    const source = await readSource(this.file);
    if (source.isErr()) return printFaults(this, [source.error]);
    const settings = parseNodeSettings(source.value.text);
    if (settings.isErr()) return printFaults(this, settings.error);
    this.context.stdout.write(`${this.file}: valid\n`);
    return ExitCode.Done;
  }
}
