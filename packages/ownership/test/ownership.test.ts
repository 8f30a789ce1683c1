import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  decodeLease,
  FENCE_ROW,
  LEASE_ROW,
  OWNER_PART,
  Ownership,
  OwnershipListener,
  type LeasedTarget,
  type Term,
  type TermReport,
} from '@currantgap/ownership';
import { MemoryStore, StoreFailure, waitUntil } from '@currantgap/standins';
import { Logger, setLogSink } from '@currantgap/telemetry';

setLogSink(() => undefined);

class RecordingListener extends OwnershipListener {
  readonly terms: Term[] = [];
  readonly losses: string[] = [];
  renewals = 0;
  targets: LeasedTarget[] = [];

  handleTaken(term: Term): void {
    this.terms.push(term);
  }

  handleLost(reason: string): void {
    this.losses.push(reason);
  }

  describeTerm(): TermReport {
    return { targets: this.targets, vmOrderAgeMs: undefined };
  }

  handleRenewed(): void {
    this.renewals += 1;
  }
}

class Contender {
  readonly listener = new RecordingListener();
  readonly ownership: Ownership;

  constructor(store: MemoryStore, node: string, patienceMs = 0) {
    this.ownership = new Ownership({
      store,
      logger: new Logger(),
      node,
      incarnation: `${node}.1`,
      address: `${node}:1`,
      patienceMs,
      listener: this.listener,
    });
    void this.ownership.run();
  }

  get isOwner(): boolean {
    return this.ownership.term !== undefined;
  }
}

/** Writes into the owner's part without a pause; returns how many writes were refused. */
async function keepBusy(store: MemoryStore, forMs: number): Promise<number> {
  const row = { table: 'ledger', part: OWNER_PART, key: 'job', value: '' };
  const endsAt = performance.now() + forMs;
  let refusals = 0;
  while (performance.now() < endsAt) {
    const result = await store.commit({ conditions: [], puts: [row], removals: [] });
    if (result.isErr()) refusals += 1;
  }
  return refusals;
}

describe('the ownership of the fleet', { concurrency: true }, () => {
  it('is taken by one contender only, with the version of the take-over as its token', async () => {
    const store = new MemoryStore();
    const contenders = ['a', 'b', 'c'].map((node) => new Contender(store, node));
    await waitUntil(() => contenders.some(({ isOwner }) => isOwner));
    await sleep(50);
    const owners = contenders.filter(({ isOwner }) => isOwner);
    assert.equal(owners.length, 1);
    const [term] = owners[0]?.listener.terms ?? [];
    assert.equal(term?.token, store.peek(FENCE_ROW)?.version);
    await Promise.all(contenders.map(({ ownership }) => ownership.release(undefined)));
  });

  it('goes to another at once when the owner releases it, with a higher token', async () => {
    const store = new MemoryStore();
    const first = new Contender(store, 'a');
    await waitUntil(() => first.isOwner);
    const target = { id: 't1', service: 'kartes' };
    first.listener.targets = [target];
    const second = new Contender(store, 'b');
    await first.ownership.release(undefined);
    await waitUntil(() => second.isOwner);
    const [before] = first.listener.terms;
    const [after] = second.listener.terms;
    assert.ok((after?.token ?? 0) > (before?.token ?? 0));
    assert.deepEqual(after?.predecessor?.targets, [target]);
    await second.ownership.release(undefined);
  });

  it('is lost by the owner whose fence another has changed', async () => {
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
    void owner.ownership.release(undefined);
  });

  it('is recognised as taken when the answer to the take-over was lost', async () => {
    const store = new MemoryStore();
    store.failure = StoreFailure.ResponseLost;
    const contender = new Contender(store, 'a');
    await waitUntil(() => contender.isOwner);
    assert.equal(contender.listener.terms.length, 1);
    assert.equal(contender.listener.terms[0]?.fenceVersion, store.peek(FENCE_ROW)?.version);
    store.failure = StoreFailure.None;
    await contender.ownership.release(undefined);
  });

  it('is kept by an owner whose earlier renewal took effect late', async () => {
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
    await owner.ownership.release(undefined);
  });

  it('is kept by an owner whose renewals are written and get no answer for longer than a lease', async () => {
    const store = new MemoryStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner);
    const other = new Contender(store, 'b');
    await sleep(50);
    store.failure = StoreFailure.ResponseLost;
    store.clientTimeoutMs = 800;
    await sleep(3_500);
    assert.ok(owner.isOwner);
    assert.ok(owner.ownership.isConfirmed);
    assert.equal(other.isOwner, false);
    store.failure = StoreFailure.None;
    void other.ownership.release(undefined);
    await owner.ownership.release(undefined);
  });

  it('is kept by an owner whose renewals of most of a lease take effect too late', async () => {
    const store = new MemoryStore();
    const owner = new Contender(store, 'a');
    await waitUntil(() => owner.isOwner);
    const other = new Contender(store, 'b');
    store.clientTimeoutMs = 800;
    for (let round = 0; round < 2; round += 1) {
      const { renewals } = owner.listener;
      await waitUntil(() => owner.listener.renewals > renewals);
      store.failure = StoreFailure.Late;
      await sleep(900);
      store.failure = StoreFailure.None;
      await sleep(700);
      store.applyLateTransactions();
    }
    assert.ok(owner.isOwner);
    assert.equal(other.isOwner, false);
    void other.ownership.release(undefined);
    await owner.ownership.release(undefined);
  });

  for (const transactionMs of [270, 350]) {
    it(`is kept by an owner whose store takes ${transactionMs} ms a write and is busy`, async () => {
      const store = new MemoryStore();
      const owner = new Contender(store, 'a');
      await waitUntil(() => owner.isOwner);
      const other = new Contender(store, 'b');
      store.transactionMs = transactionMs;
      const refusals = await keepBusy(store, 6_000);
      assert.deepEqual(owner.listener.losses, []);
      assert.equal(other.isOwner, false);
      assert.equal(refusals, 0);
      store.transactionMs = 0;
      void other.ownership.release(undefined);
      await owner.ownership.release(undefined);
    });
  }

  it('is not taken over at once after an outage: the owner gets a lease to renew', async () => {
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
    void other.ownership.release(undefined);
    await owner.ownership.release(undefined);
  });

  it('is taken as soon as the store shows the lease as over, when all nodes have restarted', async () => {
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
    void before.ownership.release(undefined);
    const startedAt = performance.now();
    const after = new Contender(store, 'b');
    await waitUntil(() => after.isOwner);
    const { predecessor, predecessorAgeMs } = after.listener.terms[0] ?? {};
    assert.equal(predecessor?.incarnation, 'a.0');
    assert.ok((predecessorAgeMs ?? Infinity) <= performance.now() - startedAt);
    await after.ownership.release(undefined);
  });
});
