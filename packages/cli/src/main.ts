import { findNearest } from '@currantgap/settings';
import { Builtins, Cli, type CommandClass } from 'clipanion';
import * as changes from './change-commands.ts';
import { ConfigurationCheckCommand } from './configuration-command.ts';
import { DurationsCommand } from './durations-command.ts';
import { EntryCommand, SettingsCheckCommand } from './entry-command.ts';
import * as environment from './environment-commands.ts';
import { ExitCode } from './exit-code.ts';
import { ExplainCommand } from './explain-command.ts';
import * as lists from './list-commands.ts';
import { NodeCheckCommand, NodeCommand } from './node-command.ts';
import { VERSION } from './version.ts';

const COMMANDS: readonly CommandClass[] = [
  EntryCommand,
  SettingsCheckCommand,
  environment.EnvironmentCheckCommand,
  environment.EnvironmentShowCommand,
  environment.EnvironmentDiffCommand,
  environment.EnvironmentApplyCommand,
  environment.EnvironmentPromoteCommand,
  changes.KeyGrantCommand,
  changes.KeyWithdrawCommand,
  changes.DataCentreOutCommand,
  changes.DataCentreInCommand,
  changes.VmLeaveCommand,
  changes.VmReturnCommand,
  lists.StatusCommand,
  lists.TeamListCommand,
  lists.VmListCommand,
  lists.DataCentreListCommand,
  lists.KeyListCommand,
  lists.MemberRemoveCommand,
  NodeCommand,
  NodeCheckCommand,
  ConfigurationCheckCommand,
  ExplainCommand,
  DurationsCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

const FLAGS = [
  '--url',
  '--json',
  '--settings',
  '--base',
  '--from',
  '--yes',
  '--against',
  '--help',
  '--version',
];

/** Parses the arguments, runs the command and returns its exit code. */
export async function run(args: readonly string[]): Promise<number> {
  const cli = new Cli({
    binaryLabel: 'currantgap',
    binaryName: 'currantgap',
    binaryVersion: VERSION,
  });
  for (const command of COMMANDS) cli.register(command);
  const hint = findHint(args);
  if (hint !== undefined) {
    process.stderr.write(`${hint}\n`);
    return ExitCode.Usage;
  }
  return cli.run([...args], Cli.defaultContext);
}

/** Describes the first unknown flag or command word, with the nearest known one. */
function findHint(args: readonly string[]): string | undefined {
  const flag = args.find(
    (word) => word.startsWith('--') && !FLAGS.includes(word.split('=')[0] ?? ''),
  );
  if (flag !== undefined) return describeUnknown('flag', flag, FLAGS);
  let paths = COMMANDS.flatMap((command) => command.paths ?? []);
  for (const [position, word] of args.entries()) {
    if (word.startsWith('-')) return undefined;
    const known = paths.flatMap((path) => path[position] ?? []);
    if (known.length === 0) return undefined;
    if (!known.includes(word)) return describeUnknown('word', word, [...new Set(known)]);
    paths = paths.filter((path) => path[position] === word);
  }
  return undefined;
}

function describeUnknown(kind: string, word: string, known: readonly string[]): string {
  const nearest = findNearest(word, known);
  const remedy =
    nearest === undefined ? `Use one of: ${known.join(', ')}.` : `Did you mean "${nearest}"?`;
  return `Unknown ${kind} "${word}". ${remedy}`;
}
