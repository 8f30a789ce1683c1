import type { TargetEntry } from '@currantgap/model';
import type { Row } from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import type { TargetRecord } from './target-record.ts';

/** Table of the target registry and the decoder of its entries. */
export interface Registry {
  readonly table: string;
  /** Decodes an entry; undefined if the value is not valid. */
  readonly decode: (id: string, value: string) => TargetEntry | undefined;
}

/** Applies the registrations of targets. */
export class RegistryReader {
  readonly #context: OwnerContext;
  readonly #registry: Registry;

  constructor(context: OwnerContext, registry: Registry) {
    this.#context = context;
    this.#registry = registry;
  }

  /** Applies rows; in a snapshot, a target without a row is not in the registry. */
  apply(rows: readonly Row[], isSnapshot: boolean): void {
    if (isSnapshot) this.#removeAbsent(rows);
    for (const row of rows) {
      const entry = row.isDeleted ? undefined : this.#registry.decode(row.key, row.value);
      if (entry === undefined) this.#remove(row.key);
      else this.#register(entry, isSnapshot);
    }
  }

  #removeAbsent(rows: readonly Row[]): void {
    const { fleet } = this.#context;
    const present = new Set(rows.map((row) => row.key));
    for (const target of [...fleet.targets]) {
      if (!present.has(target.id)) this.#remove(target.id);
    }
  }

  #remove(id: string): void {
    const { fleet, logger } = this.#context;
    const isRegistered = fleet.find(id)?.isRegistered === true;
    fleet.unregister(id);
    if (!isRegistered) return;
    logger.writeInfo('target unregistered', { target: id });
  }

  /** Registers a target; one that a snapshot contains may have runs of an earlier term. */
  #register(entry: TargetEntry, isSnapshot: boolean): void {
    const { fleet, reconciliation } = this.#context;
    const isNew = fleet.find(entry.id) === undefined;
    const target = fleet.register(entry, isSnapshot ? reconciliation.deadline : 0);
    if (!isNew || target === undefined) return;
    if (isSnapshot) reconciliation.expectReport({ id: entry.id, service: entry.service });
    this.#writeRegistered(target);
  }

  #writeRegistered(target: TargetRecord): void {
    const { service, dataCentre, address } = target.entry;
    this.#context.logger.writeInfo('target registered', {
      target: target.id,
      service,
      dataCentre,
      address,
      rack: target.rack,
    });
  }
}
