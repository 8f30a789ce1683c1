import type { TargetEntry } from '@currantgap/model';
import type { Row } from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import type { TargetRecord } from './target-record.ts';

/** Where the registry lies and how its entries read. */
export interface Registry {
  readonly table: string;
  readonly decode: (id: string, value: string) => TargetEntry | undefined;
}

/** Takes up what targets say of themselves. */
export class RegistryReader {
  readonly #context: OwnerContext;
  readonly #registry: Registry;

  constructor(context: OwnerContext, registry: Registry) {
    this.#context = context;
    this.#registry = registry;
  }

  /** Applies rows; `isWhole` says that a target without a row has none in the registry. */
  apply(rows: readonly Row[], isWhole: boolean): void {
    if (isWhole) this.#removeAbsent(rows);
    for (const row of rows) {
      const entry = row.isDeleted ? undefined : this.#registry.decode(row.key, row.value);
      if (entry === undefined) this.#remove(row.key);
      else this.#register(entry, isWhole);
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
    if (fleet.find(id)?.isRegistered !== true) return;
    fleet.unregister(id);
    logger.writeInfo('target unregistered', { target: id });
  }

  /** A target that was there when the term began may run work of an earlier term. */
  #register(entry: TargetEntry, isWhole: boolean): void {
    const { fleet, settling } = this.#context;
    const isNew = fleet.find(entry.id) === undefined;
    const target = fleet.register(entry, isWhole ? settling.deadline : 0);
    if (!isNew) return;
    if (isWhole) settling.expect({ id: entry.id, service: entry.service });
    this.#report(target);
  }

  #report(target: TargetRecord): void {
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
