import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { findNearest, parseToml, type TomlSource } from '@currantgap/settings';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { Access, documentSchema, OPEN_TEAM, type EnvironmentDocument } from './document.ts';

/** Parses an environment document and validates its cross-references. Returns all faults. */
export function parseDocument(source: TomlSource): Result<EnvironmentDocument, Fault[]> {
  const parsed = parseToml(source, documentSchema as unknown as z.ZodType<EnvironmentDocument>);
  if (parsed.isErr()) return err(parsed.error);
  const faults = new DocumentValidator(source.fileName, parsed.value).validate();
  return faults.length === 0 ? ok(parsed.value) : err(faults);
}

/** Validates the rules that the schema cannot express: unique names, references and limits. */
class DocumentValidator {
  readonly #fileName: string;
  readonly #document: EnvironmentDocument;
  readonly #faults: Fault[] = [];

  constructor(fileName: string, document: EnvironmentDocument) {
    this.#fileName = fileName;
    this.#document = document;
  }

  /** Returns all faults of the document. */
  validate(): Fault[] {
    this.#checkUniqueNames();
    this.#checkServices();
    this.#checkVms();
    this.#checkPools();
    return this.#faults;
  }

  #checkUniqueNames(): void {
    this.#requireUnique('dataCentres', this.#document.dataCentres);
    this.#requireUnique('pools', this.#document.pools);
    this.#requireUnique('services', this.#document.services);
    this.#requireUnique('teams', this.#document.teams);
    this.#requireUnique('vms', this.#document.vms);
  }

  #checkServices(): void {
    const pools = listNames(this.#document.pools);
    const teams = listNames(this.#document.teams);
    this.#document.services.forEach((service, index) => {
      this.#requireKnown(`services[${index}].pool`, 'pool', service.pool, pools);
      if (service.access === Access.Open && !teams.includes(OPEN_TEAM)) {
        this.#addFault(
          `services[${index}].access: "open" needs a team "${OPEN_TEAM}".`,
          `Add a team "${OPEN_TEAM}" with a share and a limit, or write access = "team".`,
        );
      }
      if (service.connections < service.slots) {
        this.#addFault(
          `services[${index}].connections: ${service.connections} is less than its ${service.slots} slots.`,
          'Write at least as many connections as slots.',
        );
      }
    });
  }

  #checkVms(): void {
    const pools = listNames(this.#document.pools);
    const dataCentres = listNames(this.#document.dataCentres);
    const addresses = new Map<string, string>();
    this.#document.vms.forEach((vm, index) => {
      this.#requireKnown(`vms[${index}].pool`, 'pool', vm.pool, pools);
      this.#requireKnown(`vms[${index}].dataCentre`, 'data centre', vm.dataCentre, dataCentres);
      const otherVm = addresses.get(vm.address);
      if (otherVm !== undefined) {
        this.#addFault(
          `vms[${index}].address: ${vm.address} is also the address of VM "${otherVm}".`,
          'Give each VM an address of its own.',
        );
      }
      addresses.set(vm.address, vm.name);
    });
  }

  #checkPools(): void {
    this.#document.pools.forEach((pool, index) => {
      const size = this.#document.vms.filter((vm) => vm.pool === pool.name).length;
      const hasService = this.#document.services.some((service) => service.pool === pool.name);
      if (hasService && size === 0) {
        this.#addFault(
          `pools[${index}]: pool "${pool.name}" has no VM, so its services cannot be served.`,
          'Add a VM to the pool.',
        );
      }
      if (size > 0 && pool.maximumUnavailable >= size) {
        this.#addFault(
          `pools[${index}].maximumUnavailable: ${pool.maximumUnavailable} of ${size} VMs leaves none in service.`,
          `Write at most ${size - 1}.`,
        );
      }
    });
  }

  #requireUnique(path: string, items: readonly { readonly name: string }[]): void {
    const seen = new Set<string>();
    items.forEach((item, index) => {
      if (seen.has(item.name)) {
        this.#addFault(
          `${path}[${index}].name: "${item.name}" is declared twice.`,
          'Remove or rename one of the two.',
        );
      }
      seen.add(item.name);
    });
  }

  #requireKnown(path: string, kind: string, found: string, known: readonly string[]): void {
    if (known.includes(found)) return;
    const nearest = findNearest(found, known);
    this.#addFault(
      `${path}: unknown ${kind} "${found}".`,
      nearest === undefined ? `Write one of ${known.join(', ')}.` : `Write "${nearest}".`,
    );
  }

  #addFault(message: string, remedy: string): void {
    this.#faults.push(
      createFault(FaultKind.InvalidDocument, `${this.#fileName}: ${message}`, remedy),
    );
  }
}

function listNames(items: readonly { readonly name: string }[]): string[] {
  return items.map((item) => item.name);
}
