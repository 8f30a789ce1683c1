import { createFault, FaultKind, formatFault, type Fault } from '@currantgap/model';
import { OperatorClient } from '@currantgap/operator';
import { Command, Option } from 'clipanion';
import { readFile } from 'node:fs/promises';
import { err, ok, type Result } from 'neverthrow';
import { ExitCode, getExitCode } from './exit-code.ts';
import { formatTable, type TableRow } from './table.ts';

const DEFAULT_URL = 'http://127.0.0.1:7001';

/** Base class of the commands that call the operator listener of an entry. */
export abstract class ClientCommand extends Command {
  url = Option.String('--url', process.env.CURRANTGAP_URL ?? DEFAULT_URL, {
    description: 'Operator listener of an entry; CURRANTGAP_URL sets the default',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON for programs' });

  async execute(): Promise<ExitCode> {
    const client = new OperatorClient({
      url: this.url,
      key: process.env.CURRANTGAP_OPERATOR_KEY ?? '',
    });
    const result = await this.run(client);
    client.close();
    return result.isOk() ? ExitCode.Done : printFaults(this, [result.error]);
  }

  /** Runs the command with a client of the operator listener. */
  protected abstract run(client: OperatorClient): Promise<Result<unknown, Fault>>;

  /** Prints `value` with `--json`, otherwise `rows` as a table. */
  protected printRows(value: unknown, rows: readonly TableRow[]): void {
    this.context.stdout.write(this.json ? `${JSON.stringify(value)}\n` : formatTable(rows));
  }

  /** Prints `value` with `--json`, otherwise the human-readable `line`. */
  protected printLine(value: unknown, line: string): void {
    this.context.stdout.write(this.json ? `${JSON.stringify(value)}\n` : `${line}\n`);
  }
}

/** Prints faults to stderr and returns the exit code for the first one. */
export function printFaults(command: Command, faults: readonly Fault[]): ExitCode {
  for (const fault of faults) command.context.stderr.write(`${formatFault(fault)}\n`);
  const [first] = faults;
  return first === undefined ? ExitCode.Done : getExitCode(first.kind);
}

/** Reads a settings or document file. */
export async function readSource(
  fileName: string,
): Promise<Result<{ fileName: string; text: string }, Fault>> {
  try {
    return ok({ fileName, text: await readFile(fileName, 'utf8') });
  } catch {
    return err(
      createFault(
        FaultKind.InvalidSettings,
        `The file ${fileName} cannot be read.`,
        'Check its name and permissions.',
      ),
    );
  }
}
