import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, request, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { EvidenceHolder } from '@currantgap/admission';
import {
  IngressHandler,
  KnownConfiguration,
  RequestObserver,
  OwnerLookupFault,
  OwnerPort,
  RouteTable,
  StoreProbe,
} from '@currantgap/ingress';
import {
  encodeEndedJob,
  ENDED_TABLE,
  getIntakePart,
  type WaitingCount,
} from '@currantgap/execution';
import { JobState, type Configuration, type Route } from '@currantgap/model';
import { decodeSubmission } from '@currantgap/platform-adapter';
import { MemoryStore, StoreFailure } from '@currantgap/standins';
import { Logger, setLogSink } from '@currantgap/telemetry';

setLogSink(() => undefined);

const ID = '00000000000000aa';
/** Milliseconds within which an accepted configuration must be in force. */
const APPLY_MS = 2_000;
/** Milliseconds within which a withdrawn key must stop working. */
const REVOCATION_MS = 5_000;
const BODY = JSON.stringify({ spec: 'x', steps: [{ count: 1, cpu: 500, mem_mb: 1 }] });

class SilentObserver extends RequestObserver {
  observe(): void {
    // These tests do not check observations.
  }

  observeRefusal(): void {
    // These tests do not check observations.
  }
}

class SettableConfiguration extends KnownConfiguration {
  override routes: RouteTable | undefined;
  override ageMs = 0;
  override readonly applyMs = APPLY_MS;
  override readonly revocationMs = REVOCATION_MS;

  override requestRefresh(): void {
    // These tests set the age themselves.
  }
}

class ScriptedOwner extends OwnerPort {
  state: JobState | OwnerLookupFault = OwnerLookupFault.Unreachable;

  async findState(): Promise<JobState | OwnerLookupFault> {
    return Promise.resolve(this.state);
  }

  count: WaitingCount | undefined;

  async countWaiting(): Promise<WaitingCount | undefined> {
    return Promise.resolve(this.count);
  }
}

function createRoute(pathPrefix: string, isPublic: boolean): Route {
  return {
    name: pathPrefix,
    host: 'host.example',
    pathPrefix,
    service: 'kartes',
    priority: 0,
    maxAttempts: 2,
    stretch: 1,
    latencyObjectiveMs: 600,
    isPublic,
    advice: undefined,
  };
}

const CONFIGURATION: Configuration = {
  version: 1,
  routes: [createRoute('/a/', false), createRoute('/a/open/', true)],
  services: [],
  teams: [
    { name: 'kurzeme', keys: ['good'], weight: 1, cap: { cpuMillis: 0, memoryMb: 0, gpus: 0 } },
  ],
  limits: { headerBytes: 1_000, bodyBytes: 2_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
};

interface CallOptions {
  readonly key?: string;
  readonly body?: string;
}

describe('IngressHandler', () => {
  const store = new MemoryStore();
  const owner = new ScriptedOwner();
  const configuration = new SettableConfiguration();
  let server: Server;
  let handler: IngressHandler;

  before(async () => {
    handler = new IngressHandler({
      store,
      probe: new StoreProbe(store, 'n'),
      logger: new Logger(),
      owner,
      observer: new SilentObserver(),
      configuration,
      evidence: new EvidenceHolder(),
      decodeSubmission,
      deadlineHeader: 'x-deadline-ms',
    });
    server = createServer((incoming, response) => {
      void handler.handle(incoming, response);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  after(() => {
    server.close();
    server.closeAllConnections();
  });

  async function call(method: string, path: string, options: CallOptions = {}) {
    const { port } = server.address() as AddressInfo;
    const headers = {
      host: 'host.example',
      ...(options.key === undefined ? {} : { authorization: `Bearer ${options.key}` }),
    };
    const outgoing = request({ host: '127.0.0.1', port, method, path, headers });
    outgoing.end(options.body);
    const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
    let text = '';
    for await (const chunk of response) text += String(chunk);
    const retryAfter = response.headers['retry-after'];
    return { status: response.statusCode, body: JSON.parse(text) as unknown, retryAfter };
  }

  it('answers 503 with retry-after before the first configuration is loaded', async () => {
    const result = await call('POST', `/a/${ID}`, { key: 'good', body: BODY });
    assert.deepEqual([result.status, result.retryAfter], [503, '1']);
    configuration.routes = new RouteTable(CONFIGURATION);
  });

  it('answers 404 if no route matches and 401 if the key belongs to no team', async () => {
    assert.equal((await call('POST', `/b/${ID}`, { key: 'good', body: BODY })).status, 404);
    assert.equal((await call('POST', `/a/${ID}`, { key: 'bad', body: BODY })).status, 401);
    assert.equal((await call('POST', `/a/${ID}`, { body: BODY })).status, 401);
  });

  // Review case 5: a submission that the store cannot keep, itself or its progress, must not hold up others.
  it('answers 413 at once to a submission that the store cannot keep', async () => {
    const id = '00000000000000fe';
    const { maximumValueBytes } = store;
    const step = { count: 1, cpu: 1, mem_mb: 1 };
    const results = [];
    for (const steps of [[step], [{ ...step, count: 100_000 }]]) {
      store.maximumValueBytes = steps[0]?.count === 1 ? 100 : maximumValueBytes;
      results.push(
        await call('POST', `/a/${id}`, { key: 'good', body: JSON.stringify({ steps }) }),
      );
    }
    store.maximumValueBytes = maximumValueBytes;
    for (const { status, retryAfter } of results)
      assert.deepEqual([status, retryAfter], [413, undefined]);
    assert.match(JSON.stringify(results[0]?.body), /too long/);
    assert.match(JSON.stringify(results[1]?.body), /too many tasks/);
    assert.equal(store.listKeys('intake').includes(id), false);
  });

  // Review case 12: a schedule of lasting tasks needs all of them at the same time, as a step with as many does.
  it('answers 413 at once to a schedule of more lasting tasks than may run at the same time', async () => {
    const submit = async (iterations: number, step: object) => {
      const id = iterations.toString(16).padStart(16, '0');
      const steps = [{ count: 1, cpu: 1, mem_mb: 1, ...step }];
      const body = JSON.stringify({ steps, iterations, interval_ms: 60_000 });
      return (await call('POST', `/a/${id}`, { key: 'good', body })).status;
    };
    assert.equal(await submit(17_501, { persistent: true }), 413);
    assert.equal(await submit(17_500, { persistent: true }), 200);
    assert.equal(await submit(1_000_000, {}), 200);
  });

  // Guards against refusals of which no log line tells by how old a configuration they were made.
  it('logs a refused request with the configuration and its age', async () => {
    const lines: string[] = [];
    setLogSink((line) => {
      if (line.includes('request not routed')) lines.push(line);
    });
    await call('POST', `/c/${ID}`, { key: 'good' });
    setLogSink(() => undefined);
    const { context } = JSON.parse(lines.join('')) as { context: object };
    const expected = { request: ID, status: 404, configuration: 1, configurationAgeMs: 0 };
    assert.deepEqual({ ...context, ...expected }, context);
  });

  // Guards against 401 and 404 by a configuration that a newer one may have replaced (CONFIG).
  it('answers 503 in place of 401 and 404 once its configuration may be out of date', async () => {
    const answers: unknown[] = [];
    for (const ageMs of [APPLY_MS, APPLY_MS + 1]) {
      configuration.ageMs = ageMs;
      const unrouted = await call('GET', '/b/', { key: 'good' });
      const unauthenticated = await call('GET', '/a/', { key: 'bad' });
      for (const { status, retryAfter } of [unrouted, unauthenticated])
        answers.push([status, retryAfter]);
    }
    configuration.ageMs = 0;
    assert.deepEqual(answers, [
      [404, undefined],
      [401, undefined],
      [503, '1'],
      [503, '1'],
    ]);
  });

  // Guards against keys that were withdrawn and go on working at a node that has not heard of it.
  it('accepts and cancels nothing by a configuration in which a key may be withdrawn', async () => {
    const id = '00000000000000dd';
    const statuses: unknown[] = [];
    for (const ageMs of [REVOCATION_MS + 1, REVOCATION_MS]) {
      configuration.ageMs = ageMs;
      const submitted = await call('POST', `/a/${id}`, { key: 'good', body: BODY });
      const cancelled = await call('DELETE', `/a/${id}`, { key: 'good' });
      statuses.push([submitted.status, cancelled.status]);
    }
    configuration.ageMs = REVOCATION_MS + 1;
    const read = await call('GET', `/a/${id}`, { key: 'good' });
    configuration.ageMs = 0;
    assert.deepEqual(statuses, [
      [503, 503],
      [200, 200],
    ]);
    assert.equal(read.status, 200);
  });

  it('can accept while its configuration is within the bound of withdrawn keys', () => {
    const accepts = [0, REVOCATION_MS, REVOCATION_MS + 1].map((ageMs) => {
      configuration.ageMs = ageMs;
      return handler.canAccept;
    });
    configuration.ageMs = 0;
    assert.deepEqual(accepts, [true, true, false]);
  });

  it('selects the route with the longest prefix and requires no key on a public route', async () => {
    assert.equal((await call('POST', '/a/open/00000000000000bb', { body: BODY })).status, 200);
  });

  it('stores a submission once and answers a repeated request the same way', async () => {
    const first = await call('POST', `/a/${ID}`, { key: 'good', body: BODY });
    const version = store.version;
    const second = await call('POST', `/a/${ID}`, { key: 'good', body: BODY });
    assert.deepEqual([first.status, second.status], [200, 200]);
    assert.equal(store.version, version);
  });

  it('names the remedy if the body is not a valid submission', async () => {
    const result = await call('POST', `/a/${ID}`, { key: 'good', body: '{"steps":[]}' });
    assert.equal(result.status, 400);
    assert.match(JSON.stringify(result.body), /Send at least one step/);
  });

  it('returns the state from the owner, or from the store if the owner is unreachable', async () => {
    owner.state = JobState.Running;
    assert.deepEqual((await call('GET', `/a/${ID}`, { key: 'good' })).body, { state: 'running' });
    owner.state = OwnerLookupFault.Unreachable;
    assert.deepEqual((await call('GET', `/a/${ID}`, { key: 'good' })).body, { state: 'pending' });
  });

  // Guards against a count that leaves out submissions which were accepted seconds before (MIXED).
  it('gives a count of waiting submissions only if it is at most 2 s old', async () => {
    const countAt = async (currentAt: number) => {
      owner.count = { waiting: 3, currentAt, epoch: 1 };
      const { status, body, retryAfter } = await call('GET', '/a/', { key: 'good' });
      return status === 200 ? body : [status, retryAfter];
    };
    assert.deepEqual(await countAt(performance.now() - 1_000), { waiting: 3 });
    assert.deepEqual(await countAt(performance.now() - 2_001), [503, '1']);
  });

  it('answers 410 only if the store was read and holds no such submission', async () => {
    owner.state = OwnerLookupFault.Unknown;
    assert.equal((await call('GET', '/a/00000000000000cc', { key: 'good' })).status, 410);
    store.failure = StoreFailure.Down;
    assert.equal((await call('GET', '/a/00000000000000cc', { key: 'good' })).status, 503);
    store.failure = StoreFailure.None;
  });

  it('stores a cancel before it responds', async () => {
    assert.equal((await call('DELETE', `/a/${ID}`, { key: 'good' })).status, 200);
    owner.state = OwnerLookupFault.Unreachable;
    assert.deepEqual((await call('GET', `/a/${ID}`, { key: 'good' })).body, { state: 'cancelled' });
    assert.equal((await call('DELETE', '/a/00000000000000cc', { key: 'good' })).status, 410);
  });

  it('answers for an ended submission that the owner has moved out of the intake', async () => {
    const id = '00000000000000ee';
    const part = getIntakePart(id);
    const value = encodeEndedJob({ state: JobState.Completed, endedAt: 1 });
    const puts = [{ table: ENDED_TABLE, part, key: id, value }];
    await store.commit({ conditions: [], puts, removals: [] });
    owner.state = OwnerLookupFault.Unknown;
    const { version } = store;
    assert.equal((await call('POST', `/a/${id}`, { key: 'good', body: BODY })).status, 200);
    assert.deepEqual((await call('GET', `/a/${id}`, { key: 'good' })).body, { state: 'completed' });
    assert.equal((await call('DELETE', `/a/${id}`, { key: 'good' })).status, 200);
    assert.equal(store.version, version, 'nothing was stored, so nothing runs again');
  });
});
