import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { HttpClient } from '@currantgap/platform';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import { problemSchema, type OperatorPath } from './api.ts';

/** Options of the operator client. */
export interface OperatorClientOptions {
  /** Base URL of the operator listener of an entry. */
  readonly url: string;
  readonly key: string;
}

const TIMEOUT_MS = 15_000;
const OK = 200;

/** Calls the operator listener of an entry. */
export class OperatorClient {
  readonly #client: HttpClient;

  constructor(options: OperatorClientOptions) {
    this.#client = new HttpClient({
      url: options.url,
      timeoutMs: TIMEOUT_MS,
      headers: { authorization: `Bearer ${options.key}` },
    });
  }

  /**
   * Sends a GET request and parses the response with `schema`. A non-empty `query` begins with a
   * question mark.
   */
  async get<T>(path: OperatorPath, schema: z.ZodType<T>, query = ''): Promise<Result<T, Fault>> {
    return this.#send('GET', path + query, undefined, schema);
  }

  /** Sends a POST request with a JSON body and parses the response with `schema`. */
  async post<T>(
    path: OperatorPath,
    body: unknown,
    schema: z.ZodType<T>,
  ): Promise<Result<T, Fault>> {
    return this.#send('POST', path, JSON.stringify(body), schema);
  }

  /** Closes the connection. */
  close(): void {
    this.#client.close();
  }

  async #send<T>(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
    schema: z.ZodType<T>,
  ): Promise<Result<T, Fault>> {
    const response = await this.#client.send({
      method,
      path,
      ...(body === undefined ? {} : { body }),
    });
    if (response.isErr()) return err(response.error);
    const json = JSON.parse(response.value.body) as unknown;
    if (response.value.status === OK) return ok(schema.parse(json));
    const problem = problemSchema.parse(json);
    return err(createFault(parseKind(problem.type), problem.title, problem.detail));
  }
}

function parseKind(type: string): FaultKind {
  const kind = type.slice(type.lastIndexOf(':') + 1);
  return KINDS.get(kind) ?? FaultKind.Unavailable;
}

const KINDS = new Map<string, FaultKind>(Object.values(FaultKind).map((kind) => [kind, kind]));
