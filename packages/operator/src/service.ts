import {
  ChangeKind,
  parseDocument,
  type Change,
  type EnvironmentState,
} from '@currantgap/environment';
import type { ChangeWriter, Configuration } from '@currantgap/freshness';
import { parseHead, RowNames } from '@currantgap/membership';
import { createFault, FaultKind, formatFault, type Fault } from '@currantgap/model';
import type { ObjectStore, TableService } from '@currantgap/platform';
import type { Logger } from '@currantgap/telemetry';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import {
  applyRequestSchema,
  changeRequestSchema,
  OperatorPath,
  parsePath,
  promoteRequestSchema,
  removeMemberRequestSchema,
  type EntryStatus,
  type TeamList,
} from './api.ts';

/** Options of the operator service. */
export interface OperatorServiceOptions {
  readonly configuration: Configuration;
  readonly writer: ChangeWriter;
  readonly objects: ObjectStore;
  readonly table: TableService;
  readonly logger: Logger;
  readonly getStatus: () => EntryStatus;
  readonly listTeams: () => Promise<TeamList>;
  /** Removes a member from the view; resolves to whether the table has recorded it. */
  readonly removeMember: (name: string) => Promise<boolean>;
}

/** Handles the requests of the operator interface, independently of HTTP. */
export class OperatorService {
  readonly #options: OperatorServiceOptions;

  constructor(options: OperatorServiceOptions) {
    this.#options = options;
  }

  /** Handles a request. Fails with the fault kinds that the CLI reference maps to exit codes. */
  async handle(url: URL, body: unknown): Promise<Result<unknown, Fault>> {
    const { state } = this.#options.configuration;
    switch (parsePath(url.pathname)) {
      case OperatorPath.Status:
        return ok(this.#options.getStatus());
      case OperatorPath.Teams:
        return ok(await this.#options.listTeams());
      case OperatorPath.Vms:
        return ok(listVms(state));
      case OperatorPath.DataCentres:
        return ok(listDataCentres(state));
      case OperatorPath.Keys:
        return ok({ keys: state.createSnapshot().keys });
      case OperatorPath.Document:
        return ok(this.#describeDocument(state.documentHash));
      case OperatorPath.Source:
        return this.#readSource(url.searchParams.get('environment') ?? '');
      case OperatorPath.Changes:
        return this.#validateAndRun(body, changeRequestSchema, async ({ change }) =>
          this.#applyChange(change),
        );
      case OperatorPath.Apply:
        return this.#validateAndRun(body, applyRequestSchema, async ({ text, base }) =>
          this.#applyText(text, base),
        );
      case OperatorPath.Promote:
        return this.#validateAndRun(body, promoteRequestSchema, async ({ hash, base }) =>
          this.#applyHash(hash, base),
        );
      case OperatorPath.RemoveMember:
        return this.#validateAndRun(body, removeMemberRequestSchema, async ({ name }) =>
          this.#remove(name),
        );
      default:
        return err(createPathFault(url.pathname));
    }
  }

  async #validateAndRun<T>(
    body: unknown,
    schema: z.ZodType<T>,
    handle: (request: T) => Promise<Result<unknown, Fault>>,
  ): Promise<Result<unknown, Fault>> {
    const parsed = schema.safeParse(body);
    if (parsed.success) return handle(parsed.data);
    const reason = parsed.error.issues.map((issue) => issue.message).join('; ');
    return err(
      createFault(FaultKind.InvalidRequest, `The request is malformed: ${reason}.`, 'Correct it.'),
    );
  }

  async #applyChange(change: Change): Promise<Result<unknown, Fault>> {
    if (change.kind === ChangeKind.ApplyDocument) return err(createPathFault('apply-document'));
    const validation = this.#options.configuration.state.validate(change);
    if (validation.isErr()) return err(validation.error);
    return this.#writeChange(change, undefined);
  }

  async #applyText(text: string, base: string | undefined): Promise<Result<unknown, Fault>> {
    const parsed = parseDocument({ fileName: 'document', text });
    if (parsed.isErr()) {
      const message = parsed.error.map((fault) => formatFault(fault)).join('\n');
      return err(createFault(FaultKind.InvalidDocument, message, 'Nothing was changed.'));
    }
    const stored = await this.#options.objects.put(text);
    if (stored.isErr()) return err(stored.error);
    return this.#writeChange({ kind: ChangeKind.ApplyDocument, hash: stored.value }, base);
  }

  async #applyHash(hash: string, base: string): Promise<Result<unknown, Fault>> {
    const document = await this.#options.configuration.loadDocument(hash);
    if (document.isErr()) return err(document.error);
    return this.#writeChange({ kind: ChangeKind.ApplyDocument, hash }, base);
  }

  async #writeChange(change: Change, base: string | undefined): Promise<Result<unknown, Fault>> {
    const written = await this.#options.writer.write(change, base);
    if (written.isOk()) {
      this.#options.logger.writeInfo('configuration changed', {
        change: change.kind,
        sequence: written.value,
      });
    }
    return written.map((sequence) => ({ sequence }));
  }

  async #remove(name: string): Promise<Result<unknown, Fault>> {
    this.#options.logger.writeWarning('operator requested removal of a member', { name });
    if (await this.#options.removeMember(name)) return ok({});
    return err(
      createFault(
        FaultKind.Conflict,
        `The member "${name}" was not removed.`,
        'Show the status; repeat the command if the member is still listed.',
      ),
    );
  }

  #describeDocument(hash: string): { hash: string; text: string } {
    return { hash, text: this.#options.configuration.getDocument(hash) ?? '' };
  }

  /** Reads the current document of another environment, which an operator wants to promote. */
  async #readSource(environment: string): Promise<Result<unknown, Fault>> {
    const rows = await this.#options.table.read([new RowNames(environment).head]);
    if (rows.isErr()) return err(rows.error);
    const { documentHash } = parseHead(rows.value[0]?.value ?? '');
    if (documentHash === '') {
      return err(
        createFault(
          FaultKind.NotFound,
          `The environment "${environment}" has no document.`,
          'Apply one there first, or correct the name.',
        ),
      );
    }
    const document = await this.#options.configuration.loadDocument(documentHash);
    return document.map(() => this.#describeDocument(documentHash));
  }
}

function listVms(state: EnvironmentState): unknown {
  return {
    vms: state.document.vms.map((vm) => ({ ...vm, isLeaving: state.isLeaving(vm.name) })),
  };
}

function listDataCentres(state: EnvironmentState): unknown {
  return {
    dataCentres: state.document.dataCentres.map((dataCentre) => ({
      ...dataCentre,
      vms: state.document.vms.filter((vm) => vm.dataCentre === dataCentre.name).length,
      isOut: state.isDataCentreOut(dataCentre.name),
    })),
  };
}

function createPathFault(path: string): Fault {
  return createFault(
    FaultKind.NotFound,
    `The operator listener has no "${path}".`,
    'Use the currantgap command of the same version as the entry.',
  );
}
