import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { STEP_DEFAULTS } from '@currantgap/jobs';
import type { Step } from '@currantgap/model';
import {
  chooseGangTargets,
  getFootprint,
  type Candidate,
  type PlacementRequest,
} from '@currantgap/scheduling';

const CORE = 1_000;
const MEMORY_MB = 4_096;

function createTarget(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    id,
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: { cpuMillis: 4 * CORE, memoryMb: MEMORY_MB, gpus: 0 },
    used: { cpuMillis: 0, memoryMb: 0, gpus: 0 },
    hasPersistent: false,
    slowness: 1,
    ...changes,
  };
}

function createRequest(
  step: Partial<Step> = {},
  changes: Partial<PlacementRequest> = {},
): PlacementRequest {
  const request = { cpuMillis: CORE, memoryMb: 1, gpus: 0 };
  const definition: Step = { ...STEP_DEFAULTS, count: 1, request, isGang: true, ...step };
  return {
    step: definition,
    footprint: getFootprint(definition),
    remoteFactor: 2,
    stepRack: undefined,
    countOn: () => 0,
    failedOn: new Set(),
    ...changes,
  };
}

function choose(count: number, request: PlacementRequest, targets: readonly Candidate[]) {
  return chooseGangTargets(request, count, targets)?.map(({ id }) => id);
}

describe('the targets of a gang', () => {
  const targets = [createTarget('t1'), createTarget('t2', { slowness: 1.2 })];

  it('are filled one after the other, those with the lowest cost first', () => {
    assert.deepEqual(choose(5, createRequest(), targets), ['t1', 't1', 't1', 't1', 't2']);
  });

  it('are none unless all tasks fit', () => {
    assert.equal(choose(8, createRequest(), targets)?.length, 8);
    assert.equal(choose(9, createRequest(), targets), undefined);
  });

  it('have room by what runs there and by the scarcest resource', () => {
    const busy = createTarget('t3', { used: { cpuMillis: 3 * CORE, memoryMb: 0, gpus: 0 } });
    assert.deepEqual(choose(1, createRequest(), [busy]), ['t3']);
    assert.equal(choose(2, createRequest(), [busy]), undefined);
    const large = createRequest({ request: { cpuMillis: 1, memoryMb: MEMORY_MB / 2, gpus: 0 } });
    assert.equal(choose(4, large, targets)?.length, 4);
    assert.equal(choose(5, large, targets), undefined);
    const shrunk = createTarget('t4', { used: { cpuMillis: 5 * CORE, memoryMb: 0, gpus: 0 } });
    const weightless = createRequest({ request: { cpuMillis: 0, memoryMb: 1, gpus: 0 } });
    assert.equal(choose(1, weightless, [shrunk]), undefined);
  });

  it('get no more tasks than the anti-affinity allows, with those that run already', () => {
    const request = createRequest({ antiAffinity: 3 }, { countOn: (id) => (id === 't1' ? 1 : 0) });
    assert.deepEqual(choose(5, request, targets), ['t1', 't1', 't2', 't2', 't2']);
    assert.equal(choose(6, request, targets), undefined);
  });

  it('are those with the label, and avoid the ones on which a member has failed', () => {
    const labelled = createTarget('t3', { labels: ['b', 'r1'] });
    assert.deepEqual(choose(1, createRequest({ requiredLabel: 'b' }), [...targets, labelled]), [
      't3',
    ]);
    const failed = createRequest({}, { failedOn: new Set(['t1']) });
    assert.deepEqual(choose(2, failed, targets), ['t2', 't2']);
  });

  // Review case 13, LOST: a gang of 10,000 tasks that did not fit was looked at task by task, each with a walk
  // over all others, so that each plan of each owner took seconds.
  it('are looked at as often for a large gang as for a small one', () => {
    const countReads = (count: number): number => {
      let reads = 0;
      const countOn = (): number => {
        reads += 1;
        return 0;
      };
      const observed = targets.map(
        (target) =>
          new Proxy(target, {
            get: (object, name) => {
              reads += 1;
              return Reflect.get(object, name) as unknown;
            },
          }),
      );
      const request = createRequest({ antiAffinity: 9_000 }, { countOn });
      assert.equal(chooseGangTargets(request, count, observed), undefined);
      return reads;
    };
    assert.equal(countReads(17_000), countReads(9));
  });
});
