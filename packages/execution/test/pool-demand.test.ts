import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LeaseRow } from '@currantgap/ownership';
import { PoolDemandEstimator, type PoolInputs } from '../src/pool-demand.ts';
import { TermHarness } from './term-harness.ts';

const INPUTS: PoolInputs = { load: undefined, heldVms: 40, hostingVms: 5, vmCapacity: undefined };

const PREDECESSOR: LeaseRow = {
  node: 'edge-1',
  incarnation: 'a',
  address: '10.0.0.1:7000',
  epoch: 1,
  isReleased: false,
  isSettled: true,
  unsettledTerms: 0,
  successors: [],
  slackMs: 0,
  expiresAt: undefined,
  targetLeaseMs: 3_000,
  logsVmOrders: true,
};

describe('the demand of a pool', () => {
  it('is nothing beyond persistent tasks at an idle start, whatever operators gave the pool', () => {
    const { context } = new TermHarness();
    const estimator = new PoolDemandEstimator(context, 'kartes', 40);
    const { persistentVms, demandVms, keptVms } = estimator.estimate(INPUTS);
    assert.deepEqual([persistentVms, demandVms, keptVms], [5, 0, 0]);
  });

  it('is at first what an earlier owner needed, which may know more than this one', () => {
    const harness = new TermHarness({ predecessor: PREDECESSOR });
    const estimator = new PoolDemandEstimator(harness.context, 'kartes', 40);
    assert.equal(estimator.estimate(INPUTS).keptVms, 40);
    harness.advance(2 * harness.context.bounds.moveMs + 1);
    assert.equal(estimator.estimate(INPUTS).keptVms, 0);
  });
});
