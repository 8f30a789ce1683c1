import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Allowances, formatTeamResource } from '@currantgap/allowance';
import { EnvironmentState, type Vm } from '@currantgap/environment';
import { StartGate } from '@currantgap/freshness';
import {
  Borrower,
  Dispatcher,
  MessageKind,
  RequestHandler,
  SendStatus,
  type PendingRequest,
} from '@currantgap/gateway';
import type { Fault } from '@currantgap/model';
import { createDocument, MANTOJUMA } from '@currantgap/standins';
import { VirtualClock } from '@currantgap/tasks';
import { Metrics } from '@currantgap/telemetry';

const KEY = 'key-hash';
const FRESHNESS_BOUND_MS = 4_000;
/** Limit of the team in the test document. */
const TEAM_LIMIT = 30;

class RecordingHandler extends RequestHandler {
  readonly started: Vm[] = [];
  readonly refused: Fault[] = [];
  isAbandoned = false;

  start(_request: PendingRequest, vm: Vm): void {
    this.started.push(vm);
  }

  refuse(_request: PendingRequest, fault: Fault): void {
    this.refused.push(fault);
  }
}

class NullBorrower extends Borrower {
  borrow(): void {
    return;
  }

  deliver(): void {
    return;
  }
}

function createState(
  changes: { keys?: boolean; out?: string[]; sequence?: number } = {},
): EnvironmentState {
  const document = createDocument(MANTOJUMA, (vm) => vm);
  const snapshot = {
    sequence: changes.sequence ?? 1,
    documentHash: 'h',
    keys: changes.keys === false ? [] : [{ keyHash: KEY, team: 'selija' }],
    dataCentresOut: changes.out ?? [],
    vmsLeaving: [],
  };
  return new EnvironmentState(snapshot, document);
}

class Harness {
  readonly clock = new VirtualClock();
  readonly gate = new StartGate(this.clock, FRESHNESS_BOUND_MS);
  readonly handler = new RecordingHandler();
  readonly allowances = new Allowances('self', createState());
  readonly dispatcher = new Dispatcher({
    clock: this.clock,
    gate: this.gate,
    allowances: this.allowances,
    borrower: new NullBorrower(),
    metrics: new Metrics(),
    ownDataCentre: 'riga',
  });
  readonly requests: PendingRequest[] = [];

  constructor() {
    this.dispatcher.start();
    this.configure(createState());
    this.allowances.configure(createState());
    this.allowances.reclaimUnowned([], ['self']);
    this.gate.renewByRead(0);
  }

  configure(state: EnvironmentState): void {
    this.dispatcher.post({ kind: MessageKind.Configure, state });
  }

  arrive(count: number, timeoutMs = 3_000): void {
    const service = createState().findService('velves');
    assert.ok(service);
    for (let index = 0; index < count; index += 1) {
      const request: PendingRequest = {
        id: `${this.requests.length}`,
        team: 'selija',
        service,
        keyHash: KEY,
        arrivedAt: this.clock.now,
        deadline: this.clock.now + timeoutMs,
        content: { method: 'POST', path: '/', headers: {}, body: Buffer.alloc(0) },
        isIdempotent: false,
        handler: this.handler,
        sendCount: 0,
        hasPossiblyRun: false,
        lastVm: undefined,
      };
      this.requests.push(request);
      this.dispatcher.post({ kind: MessageKind.Arrive, request, isRetry: false });
    }
  }

  finish(index: number, status: SendStatus): void {
    const request = this.requests[index];
    const vm = this.handler.started[index]?.name;
    assert.ok(request && vm);
    this.dispatcher.post({ kind: MessageKind.Finish, request, vm, status, runMs: 10 });
  }

  /** Lets the dispatcher handle all posted messages. */
  async flush(): Promise<void> {
    for (let turn = 0; turn < 100; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('the dispatcher', () => {
  it('starts at most as many requests as the limit of the team allows', async () => {
    const harness = new Harness();
    harness.arrive(TEAM_LIMIT + 5);
    await harness.flush();
    assert.equal(harness.handler.started.length, TEAM_LIMIT);
  });

  it('starts a waiting request when a running one ends', async () => {
    const harness = new Harness();
    harness.arrive(TEAM_LIMIT + 1);
    await harness.flush();
    harness.finish(0, SendStatus.Answered);
    await harness.flush();
    assert.equal(harness.handler.started.length, TEAM_LIMIT + 1);
  });

  it('keeps the permits of a lost send until the maximum run time has passed', async () => {
    const harness = new Harness();
    harness.arrive(TEAM_LIMIT + 1, 20_000);
    await harness.flush();
    harness.finish(0, SendStatus.Lost);
    await harness.flush();
    assert.equal(harness.handler.started.length, TEAM_LIMIT);
    harness.gate.renewByRead(MANTOJUMA.maximumRunMs);
    harness.clock.advanceTo(MANTOJUMA.maximumRunMs);
    await harness.flush();
    assert.equal(harness.handler.started.length, TEAM_LIMIT + 1);
  });

  it('starts no request once the freshness bound has passed', async () => {
    const harness = new Harness();
    harness.clock.advanceTo(FRESHNESS_BOUND_MS);
    harness.arrive(1);
    await harness.flush();
    assert.equal(harness.handler.started.length, 0);
  });

  it('starts no request in a data centre that is taken out', async () => {
    const harness = new Harness();
    harness.configure(createState({ out: ['riga', 'liepaja'], sequence: 2 }));
    harness.arrive(TEAM_LIMIT);
    await harness.flush();
    assert.ok(harness.handler.started.length > 0);
    for (const vm of harness.handler.started)
      assert.ok(!['riga', 'liepaja'].includes(vm.dataCentre));
  });

  it('refuses waiting requests when their key is withdrawn', async () => {
    const harness = new Harness();
    harness.arrive(TEAM_LIMIT + 3);
    await harness.flush();
    harness.configure(createState({ keys: false, sequence: 2 }));
    await harness.flush();
    assert.equal(harness.handler.refused.length, 3);
    assert.match(harness.handler.refused[0]?.message ?? '', /key was withdrawn/);
  });

  it('refuses waiting requests that would miss their deadline', async () => {
    const harness = new Harness();
    harness.arrive(TEAM_LIMIT, 3_000);
    harness.arrive(2, 500);
    await harness.flush();
    harness.clock.advanceTo(490);
    harness.finish(0, SendStatus.Answered);
    await harness.flush();
    assert.equal(harness.handler.refused.length, 2);
  });

  it('reports a drain as complete once all requests have ended', async () => {
    const harness = new Harness();
    harness.arrive(1);
    await harness.flush();
    let isDrained = false;
    harness.dispatcher.post({ kind: MessageKind.Drain, resolve: () => (isDrained = true) });
    await harness.flush();
    assert.equal(isDrained, false);
    harness.finish(0, SendStatus.Answered);
    await harness.flush();
    assert.equal(isDrained, true);
    assert.equal(harness.allowances.count(formatTeamResource('selija')).running, 0);
  });
});
