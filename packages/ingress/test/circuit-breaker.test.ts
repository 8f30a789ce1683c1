import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { CircuitBreaker, StoreProbe } from '@currantgap/ingress';
import { MemoryStore, StoreFailure } from '@currantgap/standins';
import { StoreFaultKind, type StoreFault, type Transaction } from '@currantgap/store';
import { Logger, setLogSink } from '@currantgap/telemetry';
import { err } from 'neverthrow';
import { setImmediate as flush } from 'node:timers/promises';

const PERIOD_MS = 500;
const MAXIMUM_PERIOD_MS = 4_000;
const MINUTE_MS = 60_000;

interface LogLine {
  readonly message: string;
  readonly context: Readonly<Record<string, unknown>>;
}

/** A store that answers no commits sent while it hangs. */
class HangingStore extends MemoryStore {
  isHanging = false;

  override async commit(transaction: Transaction): ReturnType<MemoryStore['commit']> {
    if (!this.isHanging) return super.commit(transaction);
    return new Promise<never>(() => undefined);
  }
}

/** A store that finds each transaction malformed. */
class StrictStore extends MemoryStore {
  override async commit(): ReturnType<MemoryStore['commit']> {
    return Promise.resolve(err(createFault(StoreFaultKind.Invalid)));
  }
}

function createFault(kind: StoreFaultKind): StoreFault {
  return { kind, message: kind, rows: [] };
}

describe('CircuitBreaker', () => {
  let lines: LogLine[];

  beforeEach(() => {
    lines = [];
    setLogSink((line) => lines.push(JSON.parse(line) as LogLine));
    mock.timers.enable({ apis: ['setTimeout'] });
  });

  afterEach(() => {
    mock.timers.reset();
  });

  async function advance(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += PERIOD_MS) {
      mock.timers.tick(Math.min(PERIOD_MS, milliseconds - passed));
      await flush();
    }
  }

  function createBreaker(store: MemoryStore): CircuitBreaker {
    return new CircuitBreaker(new StoreProbe(store, 'n'), new Logger());
  }

  function open(breaker: CircuitBreaker): void {
    breaker.recordFailure(createFault(StoreFaultKind.Unknown), performance.now());
    assert.ok(breaker.isOpen);
  }

  function listMessages(): string[] {
    return lines.map(({ message }) => message);
  }

  describe('while the store refuses this node', () => {
    it('stays open, sends two probes a second and logs the loss once', async () => {
      const store = new MemoryStore();
      store.failure = StoreFailure.Down;
      const breaker = createBreaker(store);
      open(breaker);
      await advance(MINUTE_MS);
      assert.ok(breaker.isOpen);
      assert.equal(store.commitCount, MINUTE_MS / PERIOD_MS);
      assert.deepEqual(listMessages(), ['store lost']);
    });

    it('stays open although reads are served', async () => {
      const store = new MemoryStore();
      store.failure = StoreFailure.Late;
      const breaker = createBreaker(store);
      open(breaker);
      assert.ok((await store.read({ table: 'op', part: '' })).isOk());
      await advance(MINUTE_MS);
      assert.ok(breaker.isOpen);
    });

    it('sends no more probes once it is stopped', async () => {
      const store = new MemoryStore();
      store.failure = StoreFailure.Down;
      const breaker = createBreaker(store);
      open(breaker);
      breaker.stop();
      await advance(MINUTE_MS);
      assert.equal(store.commitCount, 0);
    });
  });

  describe('once the store serves this node again', () => {
    it('closes within a period without a write, and sends no further probes', async () => {
      const store = new MemoryStore();
      store.failure = StoreFailure.Down;
      const breaker = createBreaker(store);
      open(breaker);
      await advance(2 * PERIOD_MS);
      store.failure = StoreFailure.None;
      await advance(PERIOD_MS);
      assert.ok(!breaker.isOpen);
      await advance(MINUTE_MS);
      assert.equal(store.commitCount, 3);
      assert.deepEqual(listMessages(), ['store lost', 'store regained']);
      const context = lines[1]?.context;
      assert.deepEqual([context?.isProbe, context?.probes], [true, 3]);
    });

    it('closes within a period after a silence, although earlier probes are unanswered', async () => {
      const store = new HangingStore();
      store.isHanging = true;
      const breaker = createBreaker(store);
      open(breaker);
      await advance(4 * PERIOD_MS);
      assert.ok(breaker.isOpen);
      store.isHanging = false;
      await advance(PERIOD_MS);
      assert.ok(!breaker.isOpen);
    });

    it('changes nothing in the store, also by a probe that is performed late', async () => {
      const store = new MemoryStore();
      store.failure = StoreFailure.Late;
      const breaker = createBreaker(store);
      open(breaker);
      await advance(2 * PERIOD_MS);
      store.failure = StoreFailure.None;
      store.applyLateTransactions();
      await advance(PERIOD_MS);
      assert.ok(!breaker.isOpen);
      assert.equal(store.version, 0);
    });

    it('closes and reports the fault if the store finds the probe malformed', async () => {
      const breaker = createBreaker(new StrictStore());
      open(breaker);
      await advance(PERIOD_MS);
      assert.ok(!breaker.isOpen);
      assert.deepEqual(listMessages(), ['store lost', 'store probe invalid', 'store regained']);
    });
  });

  describe('if the store serves probes but no submissions', () => {
    async function countPeriods(breaker: CircuitBreaker): Promise<number> {
      open(breaker);
      let periods = 0;
      for (; breaker.isOpen; periods += 1) await advance(PERIOD_MS);
      return periods;
    }

    it('stays open for twice as long each time, up to a limit', async () => {
      const breaker = createBreaker(new MemoryStore());
      const periods: number[] = [];
      for (let round = 0; round < 6; round += 1) periods.push(await countPeriods(breaker));
      const limit = MAXIMUM_PERIOD_MS / PERIOD_MS;
      assert.deepEqual(periods, [1, 2, 4, limit, limit, limit]);
    });

    it('closes within a period again after a submission was stored', async () => {
      const breaker = createBreaker(new MemoryStore());
      for (let round = 0; round < 3; round += 1) await countPeriods(breaker);
      breaker.recordSuccess(performance.now());
      assert.equal(await countPeriods(breaker), 1);
    });
  });

  describe('with writes in flight', () => {
    it('stays closed when a write from before the probe that closed it fails', async () => {
      const breaker = createBreaker(new MemoryStore());
      const sentAt = performance.now();
      open(breaker);
      await advance(PERIOD_MS);
      breaker.recordFailure(createFault(StoreFaultKind.Unknown), sentAt);
      assert.ok(!breaker.isOpen);
    });

    it('stays open when a write from before the last failure succeeds', () => {
      const breaker = createBreaker(new MemoryStore());
      const sentAt = performance.now();
      open(breaker);
      breaker.recordSuccess(sentAt);
      assert.ok(breaker.isOpen);
    });

    it('stays open when a probe from before the last failure succeeds', async () => {
      const breaker = createBreaker(new MemoryStore());
      open(breaker);
      mock.timers.tick(PERIOD_MS);
      breaker.recordFailure(createFault(StoreFaultKind.Refused), performance.now());
      await flush();
      assert.ok(breaker.isOpen);
      await advance(PERIOD_MS);
      assert.ok(!breaker.isOpen);
    });

    it('closes when a write that was sent after the last failure succeeds', () => {
      const breaker = createBreaker(new MemoryStore());
      open(breaker);
      breaker.recordSuccess(performance.now());
      assert.ok(!breaker.isOpen);
      assert.equal(lines[1]?.context.isProbe, false);
    });
  });
});
