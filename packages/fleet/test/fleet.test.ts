import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { canDisrupt, decidePoolSizes, sortDueVms, type DueVm } from '@currantgap/fleet';

function createDue(name: string, changes: Partial<DueVm> = {}): DueVm {
  return { name, isOff: false, persistentTasks: 0, otherTasks: 0, isPoolBusy: false, ...changes };
}

describe('decidePoolSizes', () => {
  it('follows a burst of five times the mean in one pool and leaves the others their minimum', () => {
    const sizes = decidePoolSizes(
      [
        { service: 'kartes', persistentVms: 5, demandVms: 20 },
        { service: 'velves', persistentVms: 5, demandVms: 0.4 },
        { service: 'lauks', persistentVms: 3, demandVms: 0 },
      ],
      40,
    );
    assert.deepEqual([...sizes.values()], [21, 5, 3]);
  });

  it('divides the VMs when two pools demand more than there are', () => {
    const sizes = decidePoolSizes(
      [
        { service: 'kartes', persistentVms: 2, demandVms: 30 },
        { service: 'velves', persistentVms: 2, demandVms: 30 },
      ],
      24,
    );
    assert.deepEqual([...sizes.values()], [12, 12]);
  });

  it('keeps idle pools small, so that the other VMs can be switched off', () => {
    const sizes = decidePoolSizes([{ service: 'kartes', persistentVms: 0, demandVms: 0 }], 8);
    assert.equal(sizes.get('kartes'), 2);
  });
});

describe('sortDueVms', () => {
  it('orders VMs that are off first, then idle ones, and defers those of busy pools', () => {
    const due = [
      createDue('busy', { isPoolBusy: true }),
      createDue('persistent', { persistentTasks: 1 }),
      createDue('idle', { otherTasks: 1 }),
      createDue('off', { isOff: true, isPoolBusy: true }),
    ];
    const names = (share: number): string[] => sortDueVms(due, share).map(({ name }) => name);
    assert.deepEqual(names(0.1), ['off', 'idle', 'persistent']);
    assert.deepEqual(names(0.9), ['off', 'idle', 'persistent', 'busy']);
  });
});

describe('canDisrupt', () => {
  it('counts tasks that are unavailable for any cause', () => {
    assert.ok(canDisrupt({ budget: 2, unavailableCount: 1 }));
    assert.equal(canDisrupt({ budget: 2, unavailableCount: 2 }), false);
  });

  it('allows one unavailable task if no budget is stated', () => {
    assert.ok(canDisrupt({ budget: 0, unavailableCount: 0 }));
    assert.equal(canDisrupt({ budget: 0, unavailableCount: 1 }), false);
  });
});
