import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { setImmediate as yieldToTasks, setTimeout as sleep } from 'node:timers/promises';
import {
  decodeLease,
  FENCE_ROW,
  LEASE_ROW,
  OWNER_PART,
  Ownership,
  OwnershipListener,
  type LeaseRow,
  type Term,
  type TermReport,
} from '@currantgap/ownership';
import { MemoryStore, StoreFailure, waitUntil } from '@currantgap/standins';
import type { Transaction } from '@currantgap/store';
import { Logger, setLogSink } from '@currantgap/telemetry';

setLogSink(() => undefined);

class RecordingListener extends OwnershipListener {
  readonly terms: Term[] = [];
  readonly losses: string[] = [];
  /** Number of reports that were requested for a take-over or a renewal. */
  reports = 0;
  renewals = 0;
  isSettled = true;
  successors: string[] = [];
  targetLeaseMs = 3_000;
  /** Lease rows as they were when this node took over. */
  readonly rowsAtTakeOver: (LeaseRow | undefined)[] = [];
  readonly #store: MemoryStore;

  constructor(store: MemoryStore) {
    super();
    this.#store = store;
  }

  handleTaken(term: Term): void {
    this.terms.push(term);
    this.rowsAtTakeOver.push(decodeLease(this.#store.peek(LEASE_ROW)?.value ?? ''));
  }

  handleLost(reason: string): void {
    this.losses.push(reason);
  }

  handleRenewed(): void {
    this.renewals += 1;
  }

  describeTerm(): TermReport {
    this.reports += 1;
    const { isSettled, successors, targetLeaseMs } = this;
    return { isSettled, successors, targetLeaseMs };
  }
}

/** Contenders of all tests. A test that fails leaves its own running, which keeps the process alive. */
const allContenders: Contender[] = [];

after(async () => {
  await Promise.all(allContenders.map(async ({ ownership }) => ownership.release()));
});

class Contender {
  readonly listener: RecordingListener;
  readonly ownership: Ownership;

  constructor(store: MemoryStore, node: string, takeOverDelayMs = 0) {
    this.listener = new RecordingListener(store);
    this.ownership = new Ownership({
      store,
      logger: new Logger(),
      node,
      incarnation: `${node}.1`,
      address: `${node}:1`,
      takeOverDelayMs,
      listener: this.listener,
      isConnectedTo: () => true,
    });
    allContenders.push(this);
    void this.ownership.run();
  }

  get isOwner(): boolean {
    return this.ownership.term !== undefined;
  }
}

/** A store whose responses to writes wait until they are let through. */
class HeldStore extends MemoryStore {
  isHolding = false;
  readonly #held: (() => void)[] = [];

  override async commit(transaction: Transaction): ReturnType<MemoryStore['commit']> {
    const result = await super.commit(transaction);
    if (this.isHolding) await new Promise<void>((resolve) => this.#held.push(resolve));
    return result;
  }

  letThrough(): void {
    this.isHolding = false;
    for (const resolve of this.#held.splice(0)) resolve();
  }
}

/** Writes to the owner's part of the table without pause; returns the number of failed writes. */
async function writeContinuously(store: MemoryStore, durationMs: number): Promise<number> {
  const row = { table: 'ledger', part: OWNER_PART, key: 'job', value: '' };
  const endsAt = performance.now() + durationMs;
  let failures = 0;
  while (performance.now() < endsAt) {
    const result = await store.commit({ conditions: [], puts: [row], removals: [] });
    if (result.isErr()) failures += 1;
  }
  return failures;
}

describe('Ownership', { concurrency: true }, () => {
  it('lets one contender take over, with the version of the take-over as its token', async () => {
    const store = new MemoryStore();
    const contenders = ['a', 'b', 'c'].map((node) => new Contender(store, node));
    await waitUntil(() => contenders.some(({ isOwner }) => isOwner));
    await sleep(50);
    const owners = contenders.filter(({ isOwner }) => isOwner);
    assert.equal(owners.length, 1);
    const [term] = owners[0]?.listener.terms ?? [];
    assert.equal(term?.token, store.peek(FENCE_ROW)?.version);
    await Promise.all(contenders.map(({ ownership }) => ownership.release()));
  });

  it('passes to another contender with a higher token as soon as the owner releases it', async () => {
    const store = new MemoryStore();
    const first = new Contender(store, 'a');
    await waitUntil(() => first.isOwner);
    first.listener.successors = ['b'];
    const second = new Contender(store, 'b');
    await first.ownership.release();
    await waitUntil(() => second.isOwner);
    const [before] = first.listener.terms;
    const [after] = second.listener.terms;
    assert.ok((after?.token ?? 0) > (before?.token ?? 0));
    assert.deepEqual(after?.predecessor?.successors, ['b']);
    await second.ownership.release();
  });

  // Guards against TWICE: a successor that dies before its first renewal hid the leases before it.
  it('announces the longest lease of its predecessor from the take-over on', async () => {
    const store = new MemoryStore();
    const first = new Contender(store, 'a');
    await waitUntil(() => first.isOwner);
    first.listener.targetLeaseMs = 6_000;
    const second = new Contender(store, 'b');
    await first.ownership.release();
    await waitUntil(() => second.isOwner);
    assert.equal(second.listener.rowsAtTakeOver[0]?.targetLeaseMs, 6_000);
    await second.ownership.release();
  });

  it('releases the lease although a renewal in flight changes the row first', async () => {
    const store = new MemoryStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner);
    store.transactionMs = 60;
    const sent = store.commitCount;
    await waitUntil(() => store.commitCount > sent);
    await owner.ownership.release();
    assert.equal(decodeLease(store.peek(LEASE_ROW)?.value ?? '')?.isReleased, true);
  });

  it('gives the next term more time after each term that ended before its owner settled', async () => {
    const store = new MemoryStore();
    const slacks: number[] = [];
    for (const node of ['a', 'b', 'c']) {
      const contender = new Contender(store, node);
      contender.listener.isSettled = false;
      await waitUntil(() => contender.isOwner);
      slacks.push(decodeLease(store.peek(LEASE_ROW)?.value ?? '')?.slackMs ?? 0);
      await contender.ownership.release();
    }
    const [first = 0] = slacks;
    assert.deepEqual(slacks, [first, 2 * first, 4 * first]);
  });

  it('ends the term when another node has changed the fence', async () => {
    const store = new MemoryStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner);
    const value = store.peek(LEASE_ROW)?.value ?? '';
    const lease = { ...decodeLease(value), node: 'b', incarnation: 'b.1', epoch: 2 };
    const puts = [
      { ...LEASE_ROW, value: JSON.stringify(lease) },
      { ...FENCE_ROW, value: '2' },
    ];
    await store.commit({ conditions: [], puts, removals: [] });
    await waitUntil(() => owner.listener.losses.length > 0);
    assert.equal(owner.isOwner, false);
    void owner.ownership.release();
  });

  it('recognises its take-over when the response was lost', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.ResponseLost;
    const contender = new Contender(store, 'a');
    await waitUntil(() => contender.isOwner);
    assert.equal(contender.listener.terms.length, 1);
    assert.equal(contender.listener.terms[0]?.fenceVersion, store.peek(FENCE_ROW)?.version);
    store.failure = StoreFailure.None;
    await contender.ownership.release();
  });

  it('keeps the term when a delayed renewal is applied late', async () => {
    const store = new MemoryStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner);
    store.failure = StoreFailure.Late;
    const sent = store.commitCount;
    await waitUntil(() => store.commitCount > sent);
    store.failure = StoreFailure.None;
    store.applyLateTransactions();
    const renewals = store.commitCount;
    await waitUntil(() => store.commitCount >= renewals + 2);
    assert.ok(owner.isOwner);
    assert.deepEqual(owner.listener.losses, []);
    await owner.ownership.release();
  });

  it('keeps the term when renewals are written without a response for longer than a lease', async () => {
    const store = new MemoryStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner);
    const other = new Contender(store, 'b');
    await sleep(50);
    store.failure = StoreFailure.ResponseLost;
    store.clientTimeoutMs = 800;
    await sleep(3_500);
    assert.ok(owner.isOwner);
    assert.ok(owner.ownership.isLeaseValid);
    assert.equal(other.isOwner, false);
    store.failure = StoreFailure.None;
    void other.ownership.release();
    await owner.ownership.release();
  });

  it('keeps the term when the renewals of most of a lease are delayed too long to apply', async () => {
    const store = new MemoryStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner);
    const other = new Contender(store, 'b');
    store.clientTimeoutMs = 800;
    for (let round = 0; round < 2; round += 1) {
      const { version } = store;
      await waitUntil(() => store.version > version);
      store.failure = StoreFailure.Late;
      await sleep(900);
      store.failure = StoreFailure.None;
      await sleep(700);
      store.applyLateTransactions();
    }
    assert.ok(owner.isOwner);
    assert.equal(other.isOwner, false);
    void other.ownership.release();
    await owner.ownership.release();
  });

  for (const transactionMs of [270, 350]) {
    it(`keeps the term when the store is busy and takes ${transactionMs} ms per write`, async () => {
      const store = new MemoryStore();
      const owner = new Contender(store, 'a');
      await waitUntil(() => owner.isOwner);
      const other = new Contender(store, 'b');
      store.transactionMs = transactionMs;
      const failures = await writeContinuously(store, 6_000);
      assert.deepEqual(owner.listener.losses, []);
      assert.equal(other.isOwner, false);
      assert.equal(failures, 0);
      store.transactionMs = 0;
      void other.ownership.release();
      await owner.ownership.release();
    });
  }

  it('renews at once after a response that came so late that the lease is not fresh any more', async () => {
    const store = new HeldStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner);
    store.isHolding = true;
    await waitUntil(() => owner.isOwner && !owner.ownership.isLeaseValid);
    const { renewals } = owner.listener;
    const { commitCount } = store;
    store.letThrough();
    await yieldToTasks();
    // The late one, and another that was sent and answered before any interval could pass.
    assert.equal(store.commitCount, commitCount + 1);
    assert.equal(owner.listener.renewals, renewals + 2);
    await owner.ownership.release();
  });

  it('gives the owner a whole lease to renew after a store outage', async () => {
    const store = new MemoryStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner);
    const other = new Contender(store, 'b');
    await sleep(50);
    store.failure = StoreFailure.Down;
    await sleep(2_300);
    store.failure = StoreFailure.None;
    await sleep(900);
    assert.ok(owner.isOwner);
    assert.equal(other.isOwner, false);
    void other.ownership.release();
    await owner.ownership.release();
  });

  it('is taken over after a restart of all nodes once the lease has expired on the store clock', async () => {
    const store = new MemoryStore();
    const before = new Contender(store, 'a');
    await waitUntil(() => before.isOwner);
    const lease = decodeLease(store.peek(LEASE_ROW)?.value ?? '');
    const value = JSON.stringify({ ...lease, incarnation: 'a.0', expiresAt: store.now - 1 });
    const puts = [
      { ...LEASE_ROW, value },
      { ...FENCE_ROW, value: '1' },
    ];
    await store.commit({ conditions: [], puts, removals: [] });
    void before.ownership.release();
    const after = new Contender(store, 'b');
    await waitUntil(() => after.isOwner);
    const { predecessor } = after.listener.terms[0] ?? {};
    assert.equal(predecessor?.incarnation, 'a.0');
    await after.ownership.release();
  });
});

describe('a lease of an owner whose machine was suspended', () => {
  it('is neither fresh nor valid, although the monotonic clock stood still, until it is renewed', async () => {
    const store = new MemoryStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner && owner.ownership.isLeaseFresh);
    const { now } = Date;
    store.failure = StoreFailure.Silent;
    Date.now = () => now() + 5_000;
    try {
      assert.equal(owner.ownership.isLeaseFresh, false);
      assert.equal(owner.ownership.isLeaseValid, false);
      store.failure = StoreFailure.None;
      await waitUntil(() => owner.ownership.isLeaseFresh);
    } finally {
      Date.now = now;
    }
    await owner.ownership.release();
  });
});
