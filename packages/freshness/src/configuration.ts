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

/** Logged changes kept in memory for peers that cannot read the table. */
const MAXIMUM_RECENT_CHANGES = 64;

/** Fallback source of documents that the object store cannot return, such as peers. */
export type DocumentSource = (hash: string) => Promise<string | undefined>;

/** Options of `Configuration`. */
export interface ConfigurationOptions {
  readonly objects: ObjectStore;
  /** Called with a document hash when the object store fails. */
  readonly findAtPeers: DocumentSource;
  /** Called with each state when it comes into force. */
  readonly publish: (state: EnvironmentState) => void;
  /** Called with the nonce of each change when it comes into force. */
  readonly resolveAnnouncement: (id: string) => void;
  /** Called for each outdated change that was offered and refused. */
  readonly countRevert: () => void;
}

/** Configuration in force at this entry. Its sequence never decreases. */
export class Configuration {
  readonly #options: ConfigurationOptions;
  readonly #recentChanges: LoggedChange[] = [];
  readonly #documents = new Map<string, string>();
  #state = EnvironmentState.createEmpty();

  constructor(options: ConfigurationOptions) {
    this.#options = options;
  }

  get state(): EnvironmentState {
    return this.#state;
  }

  /** Lists the changes after `sequence`; empty when they are not all in memory. */
  listChangesAfter(sequence: number): LoggedChange[] {
    const changes = this.#recentChanges.filter((change) => change.sequence > sequence);
    return changes[0]?.sequence === sequence + 1 ? changes : [];
  }

  /** Gets the text of a document that was loaded before. */
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

  /** Applies changes in order. Refuses older changes and counts them, except duplicates. */
  async apply(changes: readonly LoggedChange[]): Promise<Result<undefined, Fault>> {
    for (const change of changes) {
      const document = await this.#loadNewDocument(change.change);
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
      if (!this.#isDuplicate(logged)) this.#options.countRevert();
      return ok(undefined);
    }
    const next = this.#state.apply({ ...logged, document });
    if (next.isErr()) return err(next.error);
    this.#state = next.value;
    this.#addRecentChange(logged);
    this.#options.resolveAnnouncement(logged.id);
    this.#options.publish(next.value);
    return ok(undefined);
  }

  /** Whether a change in force was offered again, rather than a conflicting older change. */
  #isDuplicate(logged: LoggedChange): boolean {
    return this.#recentChanges.some(
      (recent) => recent.sequence === logged.sequence && recent.id === logged.id,
    );
  }

  async #loadNewDocument(change: Change): Promise<Result<EnvironmentDocument | undefined, Fault>> {
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

  #addRecentChange(change: LoggedChange): void {
    this.#recentChanges.push(change);
    if (this.#recentChanges.length > MAXIMUM_RECENT_CHANGES) this.#recentChanges.shift();
  }
}

function createDocumentFault(hash: string): Fault {
  return createFault(FaultKind.InvalidDocument, `Document ${hash} is invalid.`, 'Apply another.');
}
