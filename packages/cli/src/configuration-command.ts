import {
  checkConfiguration,
  compareConfigurations,
  Section,
  Severity,
} from '@currantgap/configuration-check';
import { createFault, FaultKind, formatFault, type Fault } from '@currantgap/model';
import { parseConfigurationSource, type ConfigurationSource } from '@currantgap/platform-adapter';
import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';
import { printFaults, readSource } from './client-command.ts';
import { ExitCode } from './exit-code.ts';

/** Checks a configuration before it is sent, and shows what it would change. */
export class ConfigurationCheckCommand extends Command {
  static override paths = [['configuration', 'check']];
  static override usage = Command.Usage({
    description: 'Check a configuration before it is sent; --against FILE compares it',
  });

  file = Option.String({ name: 'file' });
  against = Option.String('--against', { description: 'The configuration in force' });

  async execute(): Promise<ExitCode> {
    const source = await readConfiguration(this.file);
    if (source.isErr()) return printFaults(this, [source.error]);
    const hasErrors = this.#printFindings(source.value);
    const isInOrder = this.against === undefined || (await this.#printChanges(source.value));
    if (hasErrors || !isInOrder) return ExitCode.Invalid;
    this.context.stdout.write(`${this.file}: valid\n`);
    return ExitCode.Done;
  }

  /** Prints all findings; returns whether one of them is an error. */
  #printFindings({ configuration, faults, getPlace }: ConfigurationSource): boolean {
    for (const fault of faults) this.context.stdout.write(`error ${formatFault(fault)}\n`);
    const findings = checkConfiguration(configuration);
    for (const { severity, section, name, message } of findings) {
      const place = section === Section.Limits ? this.file : getPlace(section, name);
      this.context.stdout.write(`${severity} ${place}: ${section} "${name}": ${message}\n`);
    }
    return faults.length > 0 || findings.some(({ severity }) => severity === Severity.Error);
  }

  /** Prints what differs from the version in force; returns whether this version can follow it. */
  async #printChanges({ configuration }: ConfigurationSource): Promise<boolean> {
    const inForce = await readConfiguration(this.against ?? '');
    if (inForce.isErr()) {
      printFaults(this, [inForce.error]);
      return false;
    }
    const before = inForce.value.configuration;
    for (const change of compareConfigurations(before, configuration)) {
      const { kind, section, name, fields } = change;
      this.context.stdout.write(`${kind} ${section} "${name}" ${fields.join(', ')}`.trim() + '\n');
    }
    if (configuration.version > before.version) return true;
    const problem = `Version ${configuration.version} is not later than ${before.version}, the one in force.`;
    const fault = createFault(FaultKind.InvalidDocument, problem, 'Raise the version.');
    this.context.stdout.write(`error ${formatFault(fault)}\n`);
    return false;
  }
}

async function readConfiguration(fileName: string): Promise<Result<ConfigurationSource, Fault>> {
  const source = await readSource(fileName);
  return source.andThen(parseConfigurationSource);
}
