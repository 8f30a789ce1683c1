import { OwnerLookupFault, OwnerPort, sendResponse } from '@currantgap/ingress';
import { JobState } from '@currantgap/model';
import type { HttpClient } from '@currantgap/platform-adapter';
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Milliseconds that a front waits for the owner before it reads the store itself. */
const PEER_TIMEOUT_MS = 400;

const JOB_PATH = '/jobs/';
const ROUTE_PATH = '/routes/';

/** What an owner answers from. */
export interface OwnerView {
  findState(id: string): JobState | undefined;
  countWaiting(route: string): number | undefined;
}

/** Where the owner is. */
export interface OwnerLocation {
  /** The owner in this process. */
  readonly local: OwnerView | undefined;
  /** `host:port` of the owner's peer listener. */
  readonly address: string | undefined;
}

const STATES = Object.values(JobState);

/** Asks the owner in this process, or over HTTP in another. */
export class PeerOwner extends OwnerPort {
  readonly #caller: HttpClient;
  readonly #locate: () => OwnerLocation;

  constructor(caller: HttpClient, locate: () => OwnerLocation) {
    super();
    this.#caller = caller;
    this.#locate = locate;
  }

  async findState(id: string): Promise<JobState | OwnerLookupFault> {
    const { local } = this.#locate();
    if (local !== undefined) return local.findState(id) ?? OwnerLookupFault.Unknown;
    const answer = (await this.#ask(`${JOB_PATH}${id}`)) as { state?: string } | undefined;
    if (answer === undefined) return OwnerLookupFault.Unreachable;
    const { state } = answer;
    return STATES.find((known: string) => known === state) ?? OwnerLookupFault.Unknown;
  }

  async countWaiting(route: string): Promise<number | undefined> {
    const { local } = this.#locate();
    if (local !== undefined) return local.countWaiting(route);
    const path = `${ROUTE_PATH}${encodeURIComponent(route)}`;
    const answer = (await this.#ask(path)) as { waiting?: number } | undefined;
    return answer?.waiting;
  }

  async #ask(path: string): Promise<unknown> {
    const { address } = this.#locate();
    if (address === undefined) return undefined;
    const reply = await this.#caller.send({
      address,
      method: 'GET',
      path,
      timeoutMs: PEER_TIMEOUT_MS,
    });
    return reply.isOk() && reply.value.status === 200 ? reply.value.body : undefined;
  }
}

/** Answers other nodes' questions; 503 where this node is not the owner. */
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
  const waiting = owner.countWaiting(decodeURIComponent(path.slice(ROUTE_PATH.length)));
  return waiting === undefined ? undefined : { waiting };
}
