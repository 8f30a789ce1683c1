import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { getIntakePart } from '@currantgap/execution';
import { IntakeWriter, WriteOutcome } from '@currantgap/ingress';
import { MemoryStore, StoreFailure } from '@currantgap/standins';
import type { Transaction } from '@currantgap/store';
import { Logger, setLogSink } from '@currantgap/telemetry';
import { setTimeout as sleep } from 'node:timers/promises';

setLogSink(() => undefined);

const LONG_MS = 60_000;
const HANG_MS = 5_000;
/** Time limit of a caller. */
const CALLER_MS = 2_900;

/** A store that answers nothing until the calls under way are given up. */
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

function createWriter(store: MemoryStore): (key: string, waitMs?: number) => Promise<WriteOutcome> {
  const writer = new IntakeWriter(store, new Logger());
  return (key, waitMs = LONG_MS) =>
    writer.write({
      row: { table: 'intake', part: 'jobs', key, value: key },
      isNew: true,
      deadline: performance.now() + waitMs,
    });
}

describe('a submission on its way to the store', () => {
  it('is written once, with others in one transaction', async () => {
    const store = new MemoryStore();
    const write = createWriter(store);
    const outcomes = await Promise.all(['a', 'b', 'c', 'd'].map((key) => write(key)));
    assert.ok(outcomes.every((outcome) => outcome === WriteOutcome.Written));
    assert.ok(store.commitCount <= 2, `${store.commitCount} transactions`);
  });

  it('is known when it comes again, and others beside it are written all the same', async () => {
    const store = new MemoryStore();
    const write = createWriter(store);
    await write('a');
    const outcomes = await Promise.all([write('b'), write('a'), write('c')]);
    assert.deepEqual(outcomes, [WriteOutcome.Written, WriteOutcome.Known, WriteOutcome.Written]);
  });

  it('is refused at once when the store refuses: it will never run', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.Down;
    assert.equal(await createWriter(store)('a'), WriteOutcome.Refused);
    assert.equal(store.version, 0);
  });

  it('is found to be written when the answer was lost', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.ResponseLost;
    const outcome = createWriter(store)('a');
    await sleep(20);
    store.failure = StoreFailure.None;
    assert.equal(await outcome, WriteOutcome.Known);
  });

  it('is never called refused while a lost write may still take effect', async () => {
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

  it('is answered by its deadline when the store is silent, and others are refused at once', async () => {
    const store = new HangingStore();
    const write = createWriter(store);
    const startedAt = performance.now();
    assert.equal(await write('a', 200), WriteOutcome.Unknown);
    assert.ok(performance.now() - startedAt < HANG_MS);
    store.release();
    await sleep(10);
    assert.equal(await write('b'), WriteOutcome.Refused);
  });

  it('is stored by a slow store too, though many fronts write at once', async () => {
    const store = new MemoryStore();
    store.transactionMs = 270;
    const fronts = Array.from({ length: 6 }, () => new IntakeWriter(store, new Logger()));
    const outcomes: Promise<WriteOutcome>[] = [];
    for (let number = 0; number < 44; number += 1) {
      const id = (number * 0x9e3779b1).toString(16).padStart(16, '0');
      const row = { table: 'intake', part: getIntakePart(id), key: id, value: id };
      const deadline = performance.now() + CALLER_MS;
      const write = fronts[number % fronts.length]?.write({ row, isNew: true, deadline });
      if (write !== undefined) outcomes.push(write);
      await sleep(90);
    }
    const refused = (await Promise.all(outcomes)).filter(
      (outcome) => outcome !== WriteOutcome.Written,
    );
    assert.deepEqual(refused, []);
  });

  it('does not wait for a store that has just failed again and again', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.Down;
    const write = createWriter(store);
    await write('a');
    await write('b');
    const sent = store.commitCount;
    assert.equal(await write('c'), WriteOutcome.Refused);
    assert.equal(store.commitCount, sent);
  });
});
