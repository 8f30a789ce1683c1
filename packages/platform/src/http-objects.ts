import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { hashContent } from '@currantgap/environment';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { HttpClient } from './http-client.ts';
import { ObjectStore, VmCondition, VmService, type ListedVm } from './objects.ts';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/** Client of the object store over HTTP. */
export class HttpObjectStore extends ObjectStore {
  readonly #client: HttpClient;

  constructor(client: HttpClient) {
    super();
    this.#client = client;
  }

  async get(hash: string): Promise<Result<string, Fault>> {
    const response = await this.#client.send({ method: 'GET', path: `/objects/${hash}` });
    if (response.isErr()) return err({ ...response.error, kind: FaultKind.Unavailable });
    if (response.value.status === STATUS_NOT_FOUND) return err(createMissingFault(hash));
    if (response.value.status !== STATUS_OK) return err(createUnavailableFault());
    if (hashContent(response.value.body) !== hash) return err(createHashMismatchFault(hash));
    return ok(response.value.body);
  }

  async put(text: string): Promise<Result<string, Fault>> {
    const hash = hashContent(text);
    const response = await this.#client.send({
      method: 'PUT',
      path: `/objects/${hash}`,
      body: text,
    });
    if (response.isErr()) return err({ ...response.error, kind: FaultKind.Unavailable });
    return response.value.status === STATUS_OK ? ok(hash) : err(createUnavailableFault());
  }
}

const vmListSchema = z.object({
  vms: z.array(z.object({ name: z.string(), condition: z.enum(VmCondition) })),
});

/** Client of the VM service over HTTP. */
export class HttpVmService extends VmService {
  readonly #client: HttpClient;

  constructor(client: HttpClient) {
    super();
    this.#client = client;
  }

  async list(): Promise<Result<readonly ListedVm[], Fault>> {
    const response = await this.#client.send({ method: 'GET', path: '/vms' });
    if (response.isErr()) return err({ ...response.error, kind: FaultKind.Unavailable });
    if (response.value.status !== STATUS_OK) return err(createUnavailableFault());
    const parsed = vmListSchema.safeParse(JSON.parse(response.value.body));
    return parsed.success ? ok(parsed.data.vms) : err(createUnavailableFault());
  }
}

function createUnavailableFault(): Fault {
  return createFault(
    FaultKind.Unavailable,
    'The platform service does not answer.',
    'Repeat the command when the platform reports it up again.',
  );
}

function createMissingFault(hash: string): Fault {
  return createFault(
    FaultKind.NotFound,
    `Object ${hash} does not exist.`,
    'Apply the document again, which stores it.',
  );
}

function createHashMismatchFault(hash: string): Fault {
  return createFault(
    FaultKind.Conflict,
    `Object ${hash} has other content than its name says.`,
    'Apply the document again, which stores it anew.',
  );
}
