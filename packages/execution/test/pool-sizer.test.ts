import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Vm } from '@currantgap/model';
import { computePoolLoads } from '../src/pool-load.ts';
import { PoolSizer } from '../src/pool-sizer.ts';
import { flushPromises, ROUTE, type TermHarness } from './term-harness.ts';
import { createController, VM } from './vm-harness.ts';

const POOL_VMS = 8;
/** Longer than a pool must have surplus VMs before one is switched off. */
const SURPLUS_MS = 2_500;

interface Setup {
  readonly harness: TermHarness;
  /** Sweeps and returns the VMs that were planned to move by then, with their destinations. */
  readonly sweep: () => Map<string, string>;
}

/** A pool of eight VMs and an empty spare pool; a persistent job has arrived. */
async function createPool(): Promise<Setup> {
  const ids = Array.from({ length: POOL_VMS }, (_, index) => `t${index + 1}`);
  const vms = ids.map((targetId): Vm => ({ ...VM, name: `vm-${targetId}`, targetId }));
  const { harness, controller } = await createController([], vms);
  const { context } = harness;
  harness.configuration = {
    ...harness.configuration,
    services: [
      { name: 'kartes', isCapacityEnforced: true, isSpare: false },
      { name: 'palig', isCapacityEnforced: true, isSpare: true },
    ],
  };
  for (const id of ids) harness.addTarget(id);
  harness.addJob('00000000000000ff', [{ isPersistent: true }]);
  const sizer = new PoolSizer(context, controller);
  await flushPromises();
  const sweep = (): Map<string, string> => {
    sizer.sweep(() => computePoolLoads(context));
    const moves = new Map<string, string>();
    for (const { vm, plan } of controller.operations) {
      if (plan.kind === 'move') moves.set(vm, plan.pool);
    }
    return moves;
  };
  return { harness, sweep };
}

/** Lets a small job arrive that ends by itself. */
function addJob({ harness }: Setup, id: string): void {
  const job = harness.addJob(id, [{}]);
  harness.context.arrivals.record(ROUTE.service, job, harness.now);
}

// Load: the persistent jobs arrive first and say nothing about the others; the first of these come
// within a moment, in the number that operators have given the pool its VMs for.
describe('the pools before the first work that ends', () => {
  it('keep the VMs that operators gave them', async () => {
    const { harness, sweep } = await createPool();
    sweep();
    harness.advance(SURPLUS_MS);
    assert.equal(sweep().size, 0);
  });
});

// Load: hardly anything arrives after a turn, so that many VMs are idle at once.
describe('a pool with many idle VMs', () => {
  it('gives them up a few at a time, so that orders do not stall the owner', async () => {
    const setup = await createPool();
    addJob(setup, '0000000000000001');
    setup.sweep();
    setup.harness.advance(SURPLUS_MS);
    assert.equal(setup.sweep().size, 4);
    assert.equal(setup.sweep().size, POOL_VMS - 2);
  });

  it('keeps them while the surplus may be chance', async () => {
    const setup = await createPool();
    addJob(setup, '0000000000000001');
    setup.sweep();
    setup.harness.advance(SURPLUS_MS / 2);
    assert.equal(setup.sweep().size, 0);
  });

  it('keeps them while the owner is behind', async () => {
    const setup = await createPool();
    addJob(setup, '0000000000000001');
    setup.sweep();
    const { sweepDelay } = setup.harness.context;
    sweepDelay.recordSweep(setup.harness.now, 100);
    setup.harness.advance(SURPLUS_MS);
    sweepDelay.recordSweep(setup.harness.now, 100);
    assert.equal(setup.sweep().size, 0);
  });
});
