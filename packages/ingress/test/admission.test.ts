import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, request, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, describe, it } from 'node:test';
import { EvidenceHolder } from '@currantgap/admission';
import { ENDED_TABLE, getIntakePart, INTAKE_TABLE } from '@currantgap/execution';
import {
  IngressHandler,
  KnownConfiguration,
  OwnerLookupFault,
  OwnerPort,
  RequestObserver,
  RouteTable,
  StoreProbe,
} from '@currantgap/ingress';
import { decodeSubmission } from '@currantgap/platform-adapter';
import { MemoryStore, StoreFailure } from '@currantgap/standins';
import { Logger, setLogSink } from '@currantgap/telemetry';
import { setTimeout as sleep } from 'node:timers/promises';

setLogSink(() => undefined);

const BODY = JSON.stringify({
  spec: 'x',
  steps: [{ count: 1, cpu: 500, mem_mb: 1, estimated_ms: 1_000 }],
});
/** Time after which evidence has expired and a refusal counts as known. */
const EXPIRY_MS = 1_050;

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'a',
      host: 'host.example',
      pathPrefix: '/a/',
      service: 'kartes',
      priority: 0,
      maxAttempts: 2,
      stretch: 1,
      latencyObjectiveMs: 600,
      isPublic: true,
      advice: undefined,
    },
  ],
  services: [],
  teams: [],
  limits: { headerBytes: 1_000, bodyBytes: 2_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
};

class UnreachableOwner extends OwnerPort {
  async findState(): Promise<OwnerLookupFault> {
    return Promise.resolve(OwnerLookupFault.Unreachable);
  }

  async countWaiting(): Promise<undefined> {
    return Promise.resolve(undefined);
  }
}

class CurrentConfiguration extends KnownConfiguration {
  override readonly routes = new RouteTable(CONFIGURATION);
  override readonly ageMs = 0;
  override readonly applyMs = 2_000;
  override readonly revocationMs = 5_000;

  override requestRefresh(): void {
    // These tests set the age themselves.
  }
}

class CountingObserver extends RequestObserver {
  readonly reasons: string[] = [];

  observe(): void {
    // These tests do not check observations of calls.
  }

  observeRefusal(_route: string, _team: string, reason: string): void {
    this.reasons.push(reason);
  }
}

/** One node's ingress over a store that it shares with others. */
class IngressNode {
  readonly observer = new CountingObserver();
  readonly #evidence = new EvidenceHolder();
  readonly #server: Server;

  constructor(store: MemoryStore) {
    const handler = new IngressHandler({
      store,
      probe: new StoreProbe(store, 'n'),
      logger: new Logger(),
      owner: new UnreachableOwner(),
      observer: this.observer,
      configuration: new CurrentConfiguration(),
      evidence: this.#evidence,
      decodeSubmission,
      deadlineHeader: 'x-deadline-ms',
    });
    this.#server = createServer((incoming, response) => {
      void handler.handle(incoming, response);
    }).listen(0, '127.0.0.1');
  }

  /** Receives evidence of a backlog that lasts for a minute. */
  overload(): void {
    const waits = [{ priority: 0, waitMs: 60_000, growth: 1 }];
    const pools = [{ service: 'kartes', teams: [{ team: '', isBeyondShare: true, waits }] }];
    const largestTask = { cpuMillis: 64_000, memoryMb: 1_000, gpus: 0 };
    this.#evidence.accept({ epoch: 1, largestTask, pools }, performance.now());
  }

  async call(method: string, id: string, body = '') {
    if (!this.#server.listening) await once(this.#server, 'listening');
    const { port } = this.#server.address() as AddressInfo;
    const headers = { host: 'host.example' };
    const outgoing = request({ host: '127.0.0.1', port, method, path: `/a/${id}`, headers });
    outgoing.end(body);
    const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
    response.resume();
    return { status: response.statusCode, retryAfter: Number(response.headers['retry-after']) };
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

describe('Admission under overload', () => {
  const nodes: IngressNode[] = [];
  after(() => {
    for (const node of nodes) node.close();
  });

  function createNodes() {
    const store = new MemoryStore();
    const [first, second] = [new IngressNode(store), new IngressNode(store)];
    nodes.push(first, second);
    const isStored = (id: string): boolean =>
      store.peek({ table: INTAKE_TABLE, part: getIntakePart(id), key: id })?.isDeleted === false;
    return { store, first, second, isStored };
  }

  it('refuses with 429 and a time to return, and the id is not known afterwards', async () => {
    const { first, isStored } = createNodes();
    const id = '00000000000000a1';
    first.overload();
    const { status, retryAfter } = await first.call('POST', id, BODY);
    assert.equal(status, 429);
    assert.ok(retryAfter >= 56, `${retryAfter} s`);
    assert.equal(isStored(id), false);
    assert.deepEqual(first.observer.reasons, ['hopeless']);
    assert.equal((await first.call('GET', id)).status, 410);
    assert.equal((await first.call('DELETE', id)).status, 410);
  });

  it('never runs a refused id, also if a write through another node lands after the refusal', async () => {
    const { store, first, second, isStored } = createNodes();
    const id = '00000000000000a2';
    store.failure = StoreFailure.Late;
    assert.equal((await first.call('POST', id, BODY)).status, 504);
    store.failure = StoreFailure.None;
    second.overload();
    assert.equal((await second.call('POST', id, BODY)).status, 429);
    store.applyLateTransactions();
    assert.equal(isStored(id), false);
  });

  it('answers 200 for an id that another node has stored, and does not refuse it', async () => {
    const { first, second, isStored } = createNodes();
    const id = '00000000000000a3';
    assert.equal((await first.call('POST', id, BODY)).status, 200);
    second.overload();
    assert.equal((await second.call('POST', id, BODY)).status, 200);
    assert.equal(isStored(id), true);
    assert.deepEqual(second.observer.reasons, []);
  });

  it('accepts a refused caller that returns when there is room', async () => {
    const { first, isStored } = createNodes();
    const id = '00000000000000a4';
    first.overload();
    assert.equal((await first.call('POST', id, BODY)).status, 429);
    await sleep(EXPIRY_MS);
    assert.equal((await first.call('POST', id, BODY)).status, 200);
    assert.equal(isStored(id), true);
    first.overload();
    assert.equal((await first.call('POST', id, BODY)).status, 200, 'it stays accepted');
  });

  it('says that nothing is known of an attempt that a node may have read before the refusal', async () => {
    const { first, second, isStored } = createNodes();
    const id = '00000000000000a5';
    first.overload();
    assert.equal((await first.call('POST', id, BODY)).status, 429);
    assert.equal((await second.call('POST', id, BODY)).status, 504);
    assert.equal(isStored(id), false);
    await sleep(EXPIRY_MS);
    assert.equal((await second.call('POST', id, BODY)).status, 200);
  });

  it('refuses a second time against a late write of an attempt between two refusals', async () => {
    const { store, first, second, isStored } = createNodes();
    const id = '00000000000000a6';
    first.overload();
    assert.equal((await first.call('POST', id, BODY)).status, 429);
    const ended = { table: ENDED_TABLE, part: getIntakePart(id), key: id };
    const version = store.peek(ended)?.version;
    second.overload();
    assert.equal((await second.call('POST', id, BODY)).status, 429);
    assert.notEqual(store.peek(ended)?.version, version);
    assert.equal(isStored(id), false);
  });

  it('does not answer 429 while the store cannot take the refusal', async () => {
    const { store, first } = createNodes();
    first.overload();
    store.failure = StoreFailure.Down;
    assert.equal((await first.call('POST', '00000000000000a7', BODY)).status, 503);
    const second = new IngressNode(store);
    nodes.push(second);
    second.overload();
    store.failure = StoreFailure.Silent;
    assert.equal((await second.call('POST', '00000000000000a8', BODY)).status, 504);
  });
});
