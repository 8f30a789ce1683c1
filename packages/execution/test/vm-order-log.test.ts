import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LeaseRow } from '@currantgap/ownership';
import { OWNER_PART } from '@currantgap/ownership';
import { StoreFailure, waitUntil } from '@currantgap/standins';
import { PageSizer } from '@currantgap/store';
import { readOwnerRows } from '../src/owner-rows.ts';
import { VM_ORDER_TABLE, VmOrderLog } from '../src/vm-order-log.ts';
import { TermHarness, type HarnessOptions } from './term-harness.ts';

/** Time for which no other owner may order a VM: `holderChangeMs` of the harness and a margin. */
const BLOCKED_MS = 3_250;

/** Creates the log of a successor, which has read what is in the store now. */
async function createSuccessor(
  predecessor: TermHarness,
  options: HarnessOptions = {},
): Promise<{ harness: TermHarness; log: VmOrderLog }> {
  const harness = new TermHarness(options);
  const { store } = predecessor;
  const log = new VmOrderLog(harness.context, store);
  const pageSizer = new PageSizer(1_000);
  const getRows = await readOwnerRows(store, [VM_ORDER_TABLE], pageSizer, () => true);
  log.load(getRows(VM_ORDER_TABLE));
  return { harness, log };
}

async function createOwner(): Promise<{ harness: TermHarness; log: VmOrderLog }> {
  const harness = new TermHarness();
  await harness.writeFence();
  return { harness, log: new VmOrderLog(harness.context, harness.store) };
}

describe('VmOrderLog', () => {
  it('blocks for a successor only the VMs that were ordered lately, for as long as needed', async () => {
    const { harness, log } = await createOwner();
    const outcomes = await Promise.all([log.record('vm1'), log.record('vm2')]);
    assert.deepEqual(outcomes, [true, true]);
    const successor = await createSuccessor(harness);
    assert.ok(successor.log.isBlocked('vm1'));
    assert.ok(successor.log.isBlocked('vm2'));
    assert.equal(successor.log.isBlocked('vm3'), false);
    successor.harness.advance(BLOCKED_MS);
    assert.equal(successor.log.isBlocked('vm1'), false);
    log.stop();
  });

  it('does not block the VMs that the owner ordered itself', async () => {
    const { log } = await createOwner();
    await log.record('vm1');
    assert.equal(log.isBlocked('vm1'), false);
    log.stop();
  });

  it('permits no order before its entry is stored', async () => {
    const { harness, log } = await createOwner();
    harness.store.failure = StoreFailure.Down;
    let isPermitted: boolean | undefined;
    void log.record('vm1').then((permitted) => (isPermitted = permitted));
    const sent = harness.store.commitCount;
    await waitUntil(() => harness.store.commitCount > sent);
    assert.equal(isPermitted, undefined);
    harness.store.failure = StoreFailure.None;
    await waitUntil(() => isPermitted !== undefined);
    assert.ok((await createSuccessor(harness)).log.isBlocked('vm1'));
    log.stop();
  });

  it('permits no order of an entry whose answer was read after a long pause', async () => {
    const { harness, log } = await createOwner();
    harness.store.transactionMs = 50;
    const permitted = log.record('vm1');
    const sent = harness.store.commitCount;
    await waitUntil(() => harness.store.commitCount > sent);
    const { now } = Date;
    Date.now = () => now() + 4_000;
    try {
      assert.equal(await permitted, false);
    } finally {
      Date.now = now;
    }
    log.stop();
  });

  it('permits no further order once another node has taken over', async () => {
    const { harness, log } = await createOwner();
    await harness.writeFence();
    let isPermitted: boolean | undefined;
    void log.record('vm1').then((permitted) => (isPermitted = permitted));
    await waitUntil(() => harness.deposeReasons.length > 0);
    assert.equal(isPermitted, undefined);
    log.stop();
    await waitUntil(() => isPermitted === false);
  });

  it('blocks all VMs after an owner that stored no orders, or if the row is malformed', async () => {
    const { harness } = await createOwner();
    const predecessor = { logsVmOrders: false } as LeaseRow;
    const afterOld = await createSuccessor(harness, { predecessor });
    assert.ok(afterOld.log.isBlocked('vm1'));
    afterOld.harness.advance(BLOCKED_MS);
    assert.equal(afterOld.log.isBlocked('vm1'), false);
    for (const value of ['', '[]', 'null', '{"vm1":"x"}']) {
      const row = { table: VM_ORDER_TABLE, part: OWNER_PART, key: 'recent', value };
      await harness.store.commit({ conditions: [], puts: [row], removals: [] });
      assert.ok((await createSuccessor(harness)).log.isBlocked('vm9'), value);
    }
  });
});
