import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { getIntakePart } from '@currantgap/execution';
import { IntakeWriter, StoreProbe, WriteOutcome } from '@currantgap/ingress';
import { MemoryStore, StoreFailure, waitUntil } from '@currantgap/standins';
import type { Transaction } from '@currantgap/store';
import { Logger, setLogSink } from '@currantgap/telemetry';
import { setTimeout as sleep } from 'node:timers/promises';

setLogSink(() => undefined);

/** Timeout that no test reaches. */
const LONG_TIMEOUT_MS = 60_000;
/** A write that takes this long missed its deadline. */
const HANG_MS = 5_000;
/** Timeout of a caller against the slow store. */
const CALLER_TIMEOUT_MS = 2_900;

/** A store whose commits hang until `release` is called and then fail without a response. */
class HangingStore extends MemoryStore {
  #release: (() => void) | undefined;

  override async commit(transaction: Transaction): ReturnType<MemoryStore['commit']> {
    await new Promise<void>((resolve) => {
      this.#release = resolve;
    });
    this.failure = StoreFailure.Silent;
    return super.commit(transaction);
  }

  release(): void {
    this.#release?.();
  }
}

function createWriter(
  store: MemoryStore,
): (key: string, timeoutMs?: number) => Promise<WriteOutcome> {
  const writer = new IntakeWriter(store, new StoreProbe(store, 'n'), new Logger());
  return (key, timeoutMs = LONG_TIMEOUT_MS) =>
    writer.write({
      row: { table: 'intake', part: 'jobs', key, value: key },
      absent: [{ table: 'intake', part: 'jobs', key }],
      deadline: performance.now() + timeoutMs,
    });
}

describe('IntakeWriter', () => {
  it('writes concurrent submissions once, batched into few transactions', async () => {
    const store = new MemoryStore();
    const write = createWriter(store);
    const outcomes = await Promise.all(['a', 'b', 'c', 'd'].map((key) => write(key)));
    assert.ok(outcomes.every((outcome) => outcome === WriteOutcome.Written));
    assert.ok(store.commitCount <= 2, `${store.commitCount} transactions`);
  });

  it('reports a repeated submission as existing and writes the others of its batch', async () => {
    const store = new MemoryStore();
    const write = createWriter(store);
    await write('a');
    const outcomes = await Promise.all([write('b'), write('a'), write('c')]);
    assert.deepEqual(outcomes, [
      WriteOutcome.Written,
      WriteOutcome.AlreadyExists,
      WriteOutcome.Written,
    ]);
  });

  it('refuses a submission at once and writes nothing if the store refuses', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.Down;
    assert.equal(await createWriter(store)('a'), WriteOutcome.Refused);
    assert.equal(store.version, 0);
  });

  it('finds a submission stored after the response to its write was lost', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.ResponseLost;
    const outcome = createWriter(store)('a');
    await sleep(20);
    store.failure = StoreFailure.None;
    assert.equal(await outcome, WriteOutcome.AlreadyExists);
  });

  it('does not report a submission as refused while a lost write may still take effect', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.Late;
    const outcome = createWriter(store)('a', 250);
    await sleep(20);
    store.failure = StoreFailure.Down;
    assert.equal(await outcome, WriteOutcome.Unknown);
    store.failure = StoreFailure.None;
    store.applyLateTransactions();
    assert.equal(store.version, 1);
  });

  it('resolves by the deadline if the store hangs, and then refuses further submissions', async () => {
    const store = new HangingStore();
    const write = createWriter(store);
    const startedAt = performance.now();
    assert.equal(await write('a', 200), WriteOutcome.Unknown);
    assert.ok(performance.now() - startedAt < HANG_MS);
    store.release();
    await sleep(10);
    assert.equal(await write('b'), WriteOutcome.Refused);
  });

  it('stores all submissions in a slow store while several nodes write concurrently', async () => {
    const store = new MemoryStore();
    store.transactionMs = 270;
    const writers = Array.from(
      { length: 6 },
      () => new IntakeWriter(store, new StoreProbe(store, 'n'), new Logger()),
    );
    const outcomes: Promise<WriteOutcome>[] = [];
    for (let number = 0; number < 44; number += 1) {
      const id = (number * 0x9e3779b1).toString(16).padStart(16, '0');
      const row = { table: 'intake', part: getIntakePart(id), key: id, value: id };
      const deadline = performance.now() + CALLER_TIMEOUT_MS;
      const write = writers[number % writers.length]?.write({ row, absent: [row], deadline });
      if (write !== undefined) outcomes.push(write);
      await sleep(90);
    }
    const refused = (await Promise.all(outcomes)).filter(
      (outcome) => outcome !== WriteOutcome.Written,
    );
    assert.deepEqual(refused, []);
  });

  it('refuses a submission without a call after consecutive failures of the store', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.Down;
    const write = createWriter(store);
    await write('a');
    await write('b');
    const sent = store.commitCount;
    assert.equal(await write('c'), WriteOutcome.Refused);
    assert.equal(store.commitCount, sent);
  });

  it('has its circuit closed soon after the store serves again, without a submission', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.Down;
    const writer = new IntakeWriter(store, new StoreProbe(store, 'n'), new Logger());
    for (const key of ['a', 'b']) {
      const row = { table: 'intake', part: 'jobs', key, value: key };
      await writer.write({ row, absent: [row], deadline: performance.now() + LONG_TIMEOUT_MS });
    }
    assert.ok(writer.isCircuitOpen);
    store.failure = StoreFailure.None;
    await waitUntil(() => !writer.isCircuitOpen);
    assert.equal(store.version, 0, 'nothing was written');
  });
});
