import {
  VmCondition,
  type ListedVm,
  type ScanOptions,
  type Transaction,
} from '@currantgap/platform';
import { FaultKind, type Fault } from '@currantgap/model';
import type { Result } from 'neverthrow';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { readText, sendJson, StandinServer } from './http-server.ts';
import { MemoryTable, TableFailure } from './memory-table.ts';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

const FAILURES = new Map<string, TableFailure>(
  Object.values(TableFailure).map((failure) => [failure, failure]),
);

/**
 * HTTP stand-in of the table service, the object store and the VM list. A request to
 * `/admin/<failure>` sets the failure of the table.
 */
export class PlatformServer extends StandinServer {
  readonly table = new MemoryTable();
  readonly #objects = new Map<string, string>();
  #vms: ListedVm[] = [];

  /** Sets the VMs that the VM list reports as leaving. */
  setLeavingVms(names: readonly string[]): void {
    this.#vms = names.map((name) => ({ name, condition: VmCondition.Leaving }));
  }

  protected async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '/';
    if (path.startsWith('/admin/')) {
      this.#setFailure(path.slice('/admin/'.length), response);
    } else if (path.startsWith('/objects/')) {
      await this.#serveObject(path.slice('/objects/'.length), request, response);
    } else if (path === '/vms') {
      sendJson(response, OK, { vms: this.#vms });
    } else {
      await this.#serveTable(path, request, response);
    }
  }

  #setFailure(name: string, response: ServerResponse): void {
    const failure = FAILURES.get(name);
    if (failure !== undefined) this.table.failure = failure;
    const status = failure === undefined ? NOT_FOUND : OK;
    sendJson(response, status, { failure: this.table.failure });
  }

  async #serveTable(
    path: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = JSON.parse(await readText(request)) as unknown;
    if (path === '/read') {
      sendResult(response, await this.table.read((body as { keys: string[] }).keys), 'rows');
    } else if (path === '/scan') {
      sendResult(response, await this.table.list(body as ScanOptions), 'rows');
    } else if (path === '/commit') {
      sendResult(response, await this.table.apply(body as Transaction), 'result');
    } else {
      sendJson(response, NOT_FOUND, {});
    }
  }

  async #serveObject(
    hash: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.table.failure === TableFailure.Down) {
      sendJson(response, UNAVAILABLE, {});
      return;
    }
    if (request.method === 'PUT') {
      this.#objects.set(hash, await readText(request));
      sendJson(response, OK, {});
      return;
    }
    const text = this.#objects.get(hash);
    if (text === undefined) {
      sendJson(response, NOT_FOUND, {});
      return;
    }
    response.writeHead(OK, { 'content-length': Buffer.byteLength(text) });
    response.end(text);
  }
}

function sendResult(response: ServerResponse, result: Result<unknown, Fault>, field: string): void {
  if (result.isOk()) {
    sendJson(response, OK, { [field]: result.value });
  } else if (result.error.kind === FaultKind.OutcomeUnknown) {
    response.destroy();
  } else {
    sendJson(response, UNAVAILABLE, {});
  }
}
