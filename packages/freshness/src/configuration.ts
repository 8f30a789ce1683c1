import {
  ChangeKind,
  EnvironmentState,
  parseDocument,
  type Change,
  type EnvironmentDocument,
} from '@currantgap/environment';
import { createFault, FaultKind, type Fault } from '@currantgap/model';
import type { ObjectStore } from '@currantgap/platform';
import { err, ok, type Result } from 'neverthrow';
import type { LoggedChange } from './log-entry.ts';

/** Logged changes kept to hand on to peers that cannot read the table. */
const MAXIMUM_KEPT_CHANGES = 64;

/** Finds a document that the object store could not give, at a peer for instance. */
export type DocumentSource = (hash: string) => Promise<string | undefined>;

/** Options of the configuration. */
export interface ConfigurationOptions {
  readonly objects: ObjectStore;
  readonly findAtPeers: DocumentSource;
  /** Receives each state when it comes into force. */
  readonly publish: (state: EnvironmentState) => void;
  /** Receives the nonce of each change when it comes into force. */
  readonly resolveAnnouncement: (id: string) => void;
  /** Counts older changes that were offered and refused. */
  readonly countRevert: () => void;
}

/** The configuration in force at this entry. Its version only rises. */
export class Configuration {
  readonly #options: ConfigurationOptions;
  readonly #kept: LoggedChange[] = [];
  readonly #documents = new Map<string, string>();
  #state = EnvironmentState.createEmpty();

  constructor(options: ConfigurationOptions) {
    this.#options = options;
  }

  get state(): EnvironmentState {
    return this.#state;
  }

  /** Lists the kept changes after `sequence`; empty when they are no longer all kept. */
  listChangesAfter(sequence: number): LoggedChange[] {
    const changes = this.#kept.filter((change) => change.sequence > sequence);
    return changes[0]?.sequence === sequence + 1 ? changes : [];
  }

  /** Gets the text of a document seen before. */
  getDocument(hash: string): string | undefined {
    return this.#documents.get(hash);
  }

  /** Loads a document by its hash. Fails with `Unavailable`, `NotFound` or `Conflict`. */
  async loadDocument(hash: string): Promise<Result<EnvironmentDocument, Fault>> {
    const text = await this.#loadText(hash);
    if (text.isErr()) return err(text.error);
    this.#documents.set(hash, text.value);
    return parseDocument({ fileName: hash, text: text.value }).mapErr(
      (faults) => faults[0] ?? createDocumentFault(hash),
    );
  }

  /** Applies the next changes in order; an older one is refused and counted. */
  async apply(changes: readonly LoggedChange[]): Promise<Result<undefined, Fault>> {
    for (const change of changes) {
      const document = await this.#prepare(change.change);
      if (document.isErr()) return err(document.error);
      const applied = this.#applyOne(change, document.value);
      if (applied.isErr()) return err(applied.error);
    }
    return ok(undefined);
  }

  #applyOne(
    logged: LoggedChange,
    document: EnvironmentDocument | undefined,
  ): Result<undefined, Fault> {
    if (logged.sequence <= this.#state.sequence) {
      if (!this.#isRepetition(logged)) this.#options.countRevert();
      return ok(undefined);
    }
    const next = this.#state.apply({ ...logged, document });
    if (next.isErr()) return err(next.error);
    this.#state = next.value;
    this.#keep(logged);
    this.#options.resolveAnnouncement(logged.id);
    this.#options.publish(next.value);
    return ok(undefined);
  }

  /** Whether a change that is in force already was only offered again. */
  #isRepetition(logged: LoggedChange): boolean {
    return this.#kept.some((kept) => kept.sequence === logged.sequence && kept.id === logged.id);
  }

  async #prepare(change: Change): Promise<Result<EnvironmentDocument | undefined, Fault>> {
    if (change.kind !== ChangeKind.ApplyDocument) return ok(undefined);
    return this.loadDocument(change.hash);
  }

  async #loadText(hash: string): Promise<Result<string, Fault>> {
    const known = this.#documents.get(hash);
    if (known !== undefined) return ok(known);
    const stored = await this.#options.objects.get(hash);
    if (stored.isOk()) return stored;
    const found = await this.#options.findAtPeers(hash);
    return found === undefined ? stored : ok(found);
  }

  #keep(change: LoggedChange): void {
    this.#kept.push(change);
    if (this.#kept.length > MAXIMUM_KEPT_CHANGES) this.#kept.shift();
  }
}

function createDocumentFault(hash: string): Fault {
  return createFault(FaultKind.InvalidDocument, `Document ${hash} is invalid.`, 'Apply another.');
}
