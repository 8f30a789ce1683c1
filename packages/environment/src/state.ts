import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { err, ok, type Result } from 'neverthrow';
import { ChangeKind, type Change } from './change.ts';
import {
  OPEN_TEAM,
  type EnvironmentDocument,
  type Service,
  type Team,
  type Vm,
} from './document.ts';

/** The parts of an environment's state that are stored in a snapshot. */
export interface EnvironmentSnapshot {
  readonly sequence: number;
  readonly documentHash: string;
  readonly keys: readonly { readonly keyHash: string; readonly team: string }[];
  readonly dataCentresOut: readonly string[];
  readonly vmsLeaving: readonly string[];
}

/** A change with its sequence number in the log. */
export interface SequencedChange {
  readonly sequence: number;
  readonly change: Change;
  /** The new document; only set for `ApplyDocument`. */
  readonly document: EnvironmentDocument | undefined;
}

/** Immutable configuration state after the change with number `sequence`. */
export class EnvironmentState {
  readonly sequence: number;
  readonly documentHash: string;
  readonly document: EnvironmentDocument;
  readonly #teams: ReadonlyMap<string, Team>;
  readonly #services: ReadonlyMap<string, Service>;
  readonly #vmsByPool: ReadonlyMap<string, readonly Vm[]>;
  readonly #keys: ReadonlyMap<string, string>;
  readonly #dataCentresOut: ReadonlySet<string>;
  readonly #vmsLeaving: ReadonlySet<string>;

  constructor(snapshot: EnvironmentSnapshot, document: EnvironmentDocument) {
    this.sequence = snapshot.sequence;
    this.documentHash = snapshot.documentHash;
    this.document = document;
    this.#teams = new Map(document.teams.map((team) => [team.name, team]));
    this.#services = new Map(document.services.map((service) => [service.name, service]));
    this.#vmsByPool = groupByPool(document.vms);
    this.#keys = new Map(snapshot.keys.map((key) => [key.keyHash, key.team]));
    this.#dataCentresOut = new Set(snapshot.dataCentresOut);
    this.#vmsLeaving = new Set(snapshot.vmsLeaving);
  }

  /** Creates the initial state, before the first change. */
  static createEmpty(): EnvironmentState {
    const snapshot = {
      sequence: 0,
      documentHash: '',
      keys: [],
      dataCentresOut: [],
      vmsLeaving: [],
    };
    return new EnvironmentState(snapshot, EMPTY_DOCUMENT);
  }

  /** Finds the team of a key. Returns undefined for a withdrawn or unknown key. */
  findTeamOfKey(keyHash: string): Team | undefined {
    const name = this.#keys.get(keyHash);
    return name === undefined ? undefined : this.#teams.get(name);
  }

  /** Finds the team to which requests without a key are counted. */
  findOpenTeam(): Team | undefined {
    return this.#teams.get(OPEN_TEAM);
  }

  findTeam(name: string): Team | undefined {
    return this.#teams.get(name);
  }

  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Lists the VMs of a pool, including those out of service. */
  listVms(pool: string): readonly Vm[] {
    return this.#vmsByPool.get(pool) ?? [];
  }

  /** Whether new work may start on a VM. */
  canStartOn(vm: Vm): boolean {
    return !this.#dataCentresOut.has(vm.dataCentre) && !this.#vmsLeaving.has(vm.name);
  }

  isDataCentreOut(name: string): boolean {
    return this.#dataCentresOut.has(name);
  }

  isLeaving(vm: string): boolean {
    return this.#vmsLeaving.has(vm);
  }

  /** Creates a snapshot from which this state can be restored. */
  createSnapshot(): EnvironmentSnapshot {
    return {
      sequence: this.sequence,
      documentHash: this.documentHash,
      keys: [...this.#keys].map(([keyHash, team]) => ({ keyHash, team })),
      dataCentresOut: [...this.#dataCentresOut],
      vmsLeaving: [...this.#vmsLeaving],
    };
  }

  /** Applies the next change. Returns a `Conflict` fault when its number is not the next one. */
  apply(next: SequencedChange): Result<EnvironmentState, Fault> {
    if (next.sequence !== this.sequence + 1)
      return err(createSequenceFault(this.sequence, next.sequence));
    const snapshot = { ...this.createSnapshot(), sequence: next.sequence };
    const { change } = next;
    if (change.kind === ChangeKind.ApplyDocument) {
      const document = next.document ?? this.document;
      return ok(new EnvironmentState({ ...snapshot, documentHash: change.hash }, document));
    }
    return ok(new EnvironmentState(applyIncrementalChange(snapshot, change), this.document));
  }

  /** Checks that the team, data centre, VM or key of a change exists, before it is accepted. */
  validate(change: Change): Result<undefined, Fault> {
    switch (change.kind) {
      case ChangeKind.GrantKey:
        return this.#requireName('team', change.team, [...this.#teams.keys()]);
      case ChangeKind.TakeOutDataCentre:
      case ChangeKind.BringBackDataCentre:
        return this.#requireName(
          'data centre',
          change.dataCentre,
          this.document.dataCentres.map((dataCentre) => dataCentre.name),
        );
      case ChangeKind.OrderVmLeave:
      case ChangeKind.BringBackVm:
        return this.#requireName(
          'VM',
          change.vm,
          this.document.vms.map((vm) => vm.name),
        );
      case ChangeKind.WithdrawKey:
        return this.#requireName('key', change.keyHash, [...this.#keys.keys()]);
      case ChangeKind.ApplyDocument:
        return ok(undefined);
    }
  }

  #requireName(kind: string, found: string, known: readonly string[]): Result<undefined, Fault> {
    if (known.includes(found)) return ok(undefined);
    return err(
      createFault(
        FaultKind.NotFound,
        `Unknown ${kind} "${found}".`,
        `List the known ones and name one of them.`,
      ),
    );
  }
}

const EMPTY_DOCUMENT: EnvironmentDocument = {
  dataCentres: [],
  pools: [],
  services: [],
  teams: [],
  vms: [],
};

type IncrementalChange = Exclude<Change, { kind: ChangeKind.ApplyDocument }>;

function applyIncrementalChange(
  snapshot: EnvironmentSnapshot,
  change: IncrementalChange,
): EnvironmentSnapshot {
  switch (change.kind) {
    case ChangeKind.GrantKey: {
      const others = snapshot.keys.filter((key) => key.keyHash !== change.keyHash);
      return { ...snapshot, keys: [...others, { keyHash: change.keyHash, team: change.team }] };
    }
    case ChangeKind.WithdrawKey:
      return { ...snapshot, keys: snapshot.keys.filter((key) => key.keyHash !== change.keyHash) };
    case ChangeKind.TakeOutDataCentre:
      return { ...snapshot, dataCentresOut: addName(snapshot.dataCentresOut, change.dataCentre) };
    case ChangeKind.BringBackDataCentre:
      return {
        ...snapshot,
        dataCentresOut: removeName(snapshot.dataCentresOut, change.dataCentre),
      };
    case ChangeKind.OrderVmLeave:
      return { ...snapshot, vmsLeaving: addName(snapshot.vmsLeaving, change.vm) };
    case ChangeKind.BringBackVm:
      return { ...snapshot, vmsLeaving: removeName(snapshot.vmsLeaving, change.vm) };
  }
}

function addName(names: readonly string[], name: string): string[] {
  return [...names.filter((other) => other !== name), name];
}

function removeName(names: readonly string[], name: string): string[] {
  return names.filter((other) => other !== name);
}

function groupByPool(vms: readonly Vm[]): Map<string, Vm[]> {
  const groups = new Map<string, Vm[]>();
  for (const vm of vms) {
    const group = groups.get(vm.pool) ?? [];
    group.push(vm);
    groups.set(vm.pool, group);
  }
  return groups;
}

function createSequenceFault(current: number, received: number): Fault {
  return createFault(
    FaultKind.Conflict,
    `Change ${received} does not follow change ${current}.`,
    'Read the log from the present sequence on.',
  );
}
