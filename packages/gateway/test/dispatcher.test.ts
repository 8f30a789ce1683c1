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
const BOUND_MS = 4_000;
const LIMIT = 30;

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

class NoBorrower extends Borrower {
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

class Bench {
  readonly clock = new VirtualClock();
  readonly gate = new StartGate(this.clock, BOUND_MS);
  readonly handler = new RecordingHandler();
  readonly allowances = new Allowances('self', createState());
  readonly dispatcher = new Dispatcher({
    clock: this.clock,
    gate: this.gate,
    allowances: this.allowances,
    borrower: new NoBorrower(),
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
        sends: 0,
        mayHaveRun: false,
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

  /** Lets the dispatcher handle what was posted. */
  async flush(): Promise<void> {
    for (let turn = 0; turn < 100; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  }
}

describe('the dispatcher', () => {
  it('starts no more than the upper limit of a team', async () => {
    const bench = new Bench();
    bench.arrive(LIMIT + 5);
    await bench.flush();
    assert.equal(bench.handler.started.length, LIMIT);
  });

  it('starts the next when one has ended', async () => {
    const bench = new Bench();
    bench.arrive(LIMIT + 1);
    await bench.flush();
    bench.finish(0, SendStatus.Answered);
    await bench.flush();
    assert.equal(bench.handler.started.length, LIMIT + 1);
  });

  it('keeps the permit of a lost send until its longest run has passed', async () => {
    const bench = new Bench();
    bench.arrive(LIMIT + 1, 20_000);
    await bench.flush();
    bench.finish(0, SendStatus.Lost);
    await bench.flush();
    assert.equal(bench.handler.started.length, LIMIT);
    bench.gate.renewByRead(MANTOJUMA.maximumRunMs);
    bench.clock.advanceTo(MANTOJUMA.maximumRunMs);
    await bench.flush();
    assert.equal(bench.handler.started.length, LIMIT + 1);
  });

  it('starts nothing once its freshness has run out', async () => {
    const bench = new Bench();
    bench.clock.advanceTo(BOUND_MS);
    bench.arrive(1);
    await bench.flush();
    assert.equal(bench.handler.started.length, 0);
  });

  it('starts nothing in a data centre that is out', async () => {
    const bench = new Bench();
    bench.configure(createState({ out: ['riga', 'liepaja'], sequence: 2 }));
    bench.arrive(LIMIT);
    await bench.flush();
    assert.ok(bench.handler.started.length > 0);
    for (const vm of bench.handler.started) assert.ok(!['riga', 'liepaja'].includes(vm.dataCentre));
  });

  it('refuses what waits when its key is withdrawn', async () => {
    const bench = new Bench();
    bench.arrive(LIMIT + 3);
    await bench.flush();
    bench.configure(createState({ keys: false, sequence: 2 }));
    await bench.flush();
    assert.equal(bench.handler.refused.length, 3);
    assert.match(bench.handler.refused[0]?.message ?? '', /key was withdrawn/);
  });

  it('refuses what could no longer be answered in time', async () => {
    const bench = new Bench();
    bench.arrive(LIMIT, 3_000);
    bench.arrive(2, 500);
    await bench.flush();
    bench.clock.advanceTo(490);
    bench.finish(0, SendStatus.Answered);
    await bench.flush();
    assert.equal(bench.handler.refused.length, 2);
  });

  it('reports that all has ended when it is drained', async () => {
    const bench = new Bench();
    bench.arrive(1);
    await bench.flush();
    let isDrained = false;
    bench.dispatcher.post({ kind: MessageKind.Drain, resolve: () => (isDrained = true) });
    await bench.flush();
    assert.equal(isDrained, false);
    bench.finish(0, SendStatus.Answered);
    await bench.flush();
    assert.equal(isDrained, true);
    assert.equal(bench.allowances.count(formatTeamResource('selija')).running, 0);
  });
});
