import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { STEP_DEFAULTS } from '@currantgap/jobs';
import type { Resources, Step } from '@currantgap/model';
import { chooseGangTargets, type PlacementRequest } from '@currantgap/scheduling';

const ONE_CORE = { cpuMillis: 1_000, memoryMb: 1, gpus: 0 };
const NOTHING = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

function createTarget(id: string, changes: object = {}) {
  const capacity = { cpuMillis: 4_000, memoryMb: 4_096, gpus: 0 };
  const place = { id, rack: 'r1', labels: ['a', 'r1'] };
  return { ...place, capacity, used: NOTHING, hasPersistent: false, slowness: 1, ...changes };
}

const T1 = createTarget('t1');
const T2 = createTarget('t2', { slowness: 1.2 });

/** Chooses targets for tasks; returns their ids, joined. */
function choose(
  count: number,
  { footprint = ONE_CORE, ...step }: Partial<Step> & { footprint?: Resources } = {},
  changes: Partial<PlacementRequest> = {},
  targets = [T1, T2],
): string | undefined {
  const definition = { ...STEP_DEFAULTS, count, request: footprint, isGang: true, ...step };
  const common = {
    remoteFactor: 2,
    stepRack: undefined,
    countOn: () => 0,
    failedOn: new Set<string>(),
  };
  const request = { step: definition, footprint, ...common, ...changes };
  return chooseGangTargets(request, count, targets)
    ?.map(({ id }) => id)
    .join(' ');
}

describe('the targets of a gang', () => {
  it('are filled one after the other, those with the lowest cost first, or are none', () => {
    assert.equal(choose(5), 't1 t1 t1 t1 t2');
    assert.equal(choose(8)?.length, 23);
    assert.equal(choose(9), undefined);
  });

  it('have room by what runs there and by the scarcest resource', () => {
    const busy = createTarget('t3', { used: { ...NOTHING, cpuMillis: 3_000 } });
    assert.equal(choose(1, {}, {}, [busy]), 't3');
    assert.equal(choose(2, {}, {}, [busy]), undefined);
    assert.equal(choose(5, { footprint: { ...NOTHING, memoryMb: 2_048 } }), undefined);
    const shrunk = createTarget('t4', { used: { ...NOTHING, cpuMillis: 5_000 } });
    assert.equal(choose(1, { footprint: { ...NOTHING, memoryMb: 1 } }, {}, [shrunk]), undefined);
  });

  it('respect the anti-affinity, the label, and the targets on which a member has failed', () => {
    const countOn = (id: string): number => (id === 't1' ? 1 : 0);
    assert.equal(choose(5, { antiAffinity: 3 }, { countOn }), 't1 t1 t2 t2 t2');
    assert.equal(choose(6, { antiAffinity: 3 }, { countOn }), undefined);
    const labelled = createTarget('t3', { labels: ['b', 'r1'] });
    assert.equal(choose(1, { requiredLabel: 'b' }, {}, [T1, labelled]), 't3');
    assert.equal(choose(2, {}, { failedOn: new Set(['t1']) }), 't2 t2');
  });

  // Review case 13, LOST: each member of a gang was placed by itself, so that each plan of each owner took seconds.
  it('are looked at as often for a large gang as for a small one', () => {
    const countLooks = (count: number): number => {
      let looks = 0;
      const countOn = (): number => {
        looks += 1;
        return 0;
      };
      assert.equal(choose(count, { antiAffinity: 9_000 }, { countOn }), undefined);
      return looks;
    };
    assert.equal(countLooks(17_000), countLooks(9));
  });
});
