import type { WaitingCount } from '@currantgap/execution';
import { OwnerLookupFault, OwnerPort, sendResponse } from '@currantgap/ingress';
import { JobState } from '@currantgap/model';
import type { HttpClient } from '@currantgap/platform-adapter';
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Milliseconds to wait for the owner's response before the state is read from the store. */
const PEER_TIMEOUT_MS = 400;

const JOB_PATH = '/jobs/';
const ROUTE_PATH = '/routes/';

/** Queries that the owner answers. */
export interface OwnerView {
  /** Returns the state of a job; undefined if the owner does not know the job. */
  findState(id: string): JobState | undefined;
  /** Counts a route's jobs of which no task has begun; undefined until the owner has read all jobs. */
  countWaiting(route: string): WaitingCount | undefined;
}

/** Answer to a query for a count. */
interface WireCount {
  readonly waiting: number;
  /** Milliseconds since the time up to which all accepted submissions are counted. */
  readonly ageMs: number;
  readonly epoch: number;
}

/** Where the owner can be reached. */
export interface OwnerLocation {
  /** The owner in this process; undefined if another node is the owner. */
  readonly local: OwnerView | undefined;
  /** `host:port` of the owner's peer listener; undefined if no owner is known. */
  readonly address: string | undefined;
}

const STATES = Object.values(JobState);

/** Queries the owner: directly in this process, or over HTTP on another node. */
export class OwnerClient extends OwnerPort {
  readonly #httpClient: HttpClient;
  readonly #locate: () => OwnerLocation;
  /** Called when the owner did not answer: another node may be the owner. */
  readonly #onNoAnswer: () => void;

  constructor(httpClient: HttpClient, locate: () => OwnerLocation, onNoAnswer: () => void) {
    super();
    this.#httpClient = httpClient;
    this.#locate = locate;
    this.#onNoAnswer = onNoAnswer;
  }

  async findState(id: string): Promise<JobState | OwnerLookupFault> {
    const { local } = this.#locate();
    if (local !== undefined) return local.findState(id) ?? OwnerLookupFault.Unknown;
    const answer = (await this.#ask(`${JOB_PATH}${id}`)) as { state?: string } | undefined;
    if (answer === undefined) return OwnerLookupFault.Unreachable;
    const { state } = answer;
    return STATES.find((known: string) => known === state) ?? OwnerLookupFault.Unknown;
  }

  async countWaiting(route: string): Promise<WaitingCount | undefined> {
    const { local } = this.#locate();
    if (local !== undefined) return local.countWaiting(route);
    const path = `${ROUTE_PATH}${encodeURIComponent(route)}`;
    const askedAt = performance.now();
    const answer = (await this.#ask(path)) as Partial<WireCount> | undefined;
    // An earlier version of the product names no age.
    if (answer?.waiting === undefined || answer.ageMs === undefined) return undefined;
    const { waiting, ageMs, epoch = 0 } = answer;
    return { waiting, currentAt: askedAt - ageMs, epoch };
  }

  async #ask(path: string): Promise<unknown> {
    const { address } = this.#locate();
    if (address === undefined) return undefined;
    const response = await this.#httpClient.send({
      address,
      method: 'GET',
      path,
      timeoutMs: PEER_TIMEOUT_MS,
    });
    if (response.isOk() && response.value.status === 200) return response.value.body;
    this.#onNoAnswer();
    return undefined;
  }
}

/** Answers a query of another node; 503 if this node is not the owner or has no answer. */
export function handlePeerCall(
  request: IncomingMessage,
  response: ServerResponse,
  owner: OwnerView | undefined,
): void {
  const path = request.url ?? '/';
  const body = owner === undefined ? undefined : answerPeerCall(path, owner);
  sendResponse(response, { status: body === undefined ? 503 : 200, body }, false);
}

function answerPeerCall(path: string, owner: OwnerView): unknown {
  if (path.startsWith(JOB_PATH)) return { state: owner.findState(path.slice(JOB_PATH.length)) };
  if (!path.startsWith(ROUTE_PATH)) return undefined;
  const count = owner.countWaiting(decodeURIComponent(path.slice(ROUTE_PATH.length)));
  if (count === undefined) return undefined;
  const { waiting, currentAt, epoch } = count;
  return { waiting, ageMs: Math.ceil(performance.now() - currentAt), epoch } satisfies WireCount;
}
