import {
  compareDocuments,
  parseDocument,
  type Difference,
  type EnvironmentDocument,
} from '@currantgap/environment';
import { createFault, FaultKind, type Fault } from '@currantgap/model';
import {
  acceptedChangeSchema,
  documentResponseSchema,
  OperatorPath,
  type OperatorClient,
} from '@currantgap/operator';
import { Command, Option } from 'clipanion';
import { err, ok, type Result } from 'neverthrow';
import { ClientCommand, printFaults, readSource } from './client-command.ts';
import { ExitCode } from './exit-code.ts';
import type { TableRow } from './table.ts';

/** Validates an environment document locally, without an entry. */
export class EnvironmentCheckCommand extends Command {
  static override paths = [['environment', 'check']];
  static override usage = Command.Usage({ description: 'Check an environment document' });

  file = Option.String({ name: 'file' });

  async execute(): Promise<ExitCode> {
    const source = await readSource(this.file);
    if (source.isErr()) return printFaults(this, [source.error]);
    const document = parseDocument(source.value);
    if (document.isErr()) return printFaults(this, document.error);
    this.context.stdout.write(`${this.file}: valid\n`);
    return ExitCode.Done;
  }
}

/** Shows the document in force. */
export class EnvironmentShowCommand extends ClientCommand {
  static override paths = [['environment', 'show']];
  static override usage = Command.Usage({ description: 'Show the environment document in force' });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const current = await client.get(OperatorPath.Document, documentResponseSchema);
    return current.map((value) => {
      this.printLine(value, value.text);
    });
  }
}

/** Shows the differences between the document in force and a document file. */
export class EnvironmentDiffCommand extends ClientCommand {
  static override paths = [['environment', 'diff']];
  static override usage = Command.Usage({ description: 'Show what a document would change' });

  file = Option.String({ name: 'file' });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const text = await readDocument(this.file);
    if (text.isErr()) return err(text.error);
    const current = await client.get(OperatorPath.Document, documentResponseSchema);
    if (current.isErr()) return err(current.error);
    const differences = compareTexts(current.value.text, text.value);
    return differences.map((items) => {
      this.printRows({ base: current.value.hash, differences: items }, formatDifferences(items));
    });
  }
}

/** Applies a document file. */
export class EnvironmentApplyCommand extends ClientCommand {
  static override paths = [['environment', 'apply']];
  static override usage = Command.Usage({ description: 'Apply an environment document' });

  file = Option.String({ name: 'file' });
  base = Option.String('--base', {
    description: 'Refuse unless the document with this hash is still in force',
  });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const text = await readDocument(this.file);
    if (text.isErr()) return err(text.error);
    const request = { text: text.value, ...(this.base === undefined ? {} : { base: this.base }) };
    const accepted = await client.post(OperatorPath.Apply, request, acceptedChangeSchema);
    return accepted.map((value) => {
      this.printLine(value, `accepted as change ${value.sequence}`);
    });
  }
}

/** Applies the document of another environment to this one. */
export class EnvironmentPromoteCommand extends ClientCommand {
  static override paths = [['environment', 'promote']];
  static override usage = Command.Usage({
    description: 'Promote the document of another environment to this one',
    details: 'Shows the difference; changes something only with --yes.',
  });

  from = Option.String('--from', { required: true, description: 'Environment to promote from' });
  yes = Option.Boolean('--yes', false, { description: 'Promote after showing the difference' });

  protected async run(client: OperatorClient): Promise<Result<unknown, Fault>> {
    const query = `?environment=${encodeURIComponent(this.from)}`;
    const source = await client.get(OperatorPath.Source, documentResponseSchema, query);
    if (source.isErr()) return err(source.error);
    const current = await client.get(OperatorPath.Document, documentResponseSchema);
    if (current.isErr()) return err(current.error);
    const differences = compareTexts(current.value.text, source.value.text);
    if (differences.isErr()) return err(differences.error);
    this.printRows({ differences: differences.value }, formatDifferences(differences.value));
    if (!this.yes) {
      this.context.stderr.write('Nothing was changed. Repeat the command with --yes to promote.\n');
      return ok(undefined);
    }
    const request = { hash: source.value.hash, base: current.value.hash };
    const accepted = await client.post(OperatorPath.Promote, request, acceptedChangeSchema);
    return accepted.map((value) => {
      this.printLine(value, `promoted as change ${value.sequence}`);
    });
  }
}

async function readDocument(fileName: string): Promise<Result<string, Fault>> {
  const source = await readSource(fileName);
  if (source.isErr()) return err(source.error);
  const document = parseDocument(source.value);
  return document.map(() => source.value.text).mapErr((faults) => joinFaults(faults));
}

function compareTexts(before: string, after: string): Result<Difference[], Fault> {
  const oldDocument: Result<EnvironmentDocument | undefined, Fault[]> =
    before === '' ? ok(undefined) : parseDocument({ fileName: 'present', text: before });
  const newDocument = parseDocument({ fileName: 'offered', text: after });
  if (oldDocument.isErr()) return err(joinFaults(oldDocument.error));
  if (newDocument.isErr()) return err(joinFaults(newDocument.error));
  return ok(compareDocuments(oldDocument.value, newDocument.value));
}

function joinFaults(faults: readonly Fault[]): Fault {
  const text = faults.map((fault) => `${fault.message} ${fault.remedy}`).join('\n');
  return createFault(FaultKind.InvalidDocument, text, '');
}

function formatDifferences(differences: readonly Difference[]): TableRow[] {
  return differences.map(({ kind, section, name, before, after }) => ({
    kind,
    section,
    name,
    before,
    after,
  }));
}
