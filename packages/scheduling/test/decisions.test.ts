import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { STEP_DEFAULTS } from '@currantgap/jobs';
import type { Step } from '@currantgap/model';
import {
  ArrivalMeter,
  chooseTarget,
  compareUrgency,
  decidePace,
  isWithinCap,
  TargetHealth,
  WeightMeter,
  type Candidate,
  type PlacementRequest,
  type OrderingCriteria,
} from '@currantgap/scheduling';

const CORE = 1_000;
const STEP: Step = {
  ...STEP_DEFAULTS,
  count: 1,
  request: { cpuMillis: CORE, memoryMb: 100, gpus: 0 },
  estimatedMs: 1_000,
};

function createCriteria(changes: Partial<OrderingCriteria> = {}): OrderingCriteria {
  return {
    isPersistent: false,
    priority: 0,
    timeToObjectiveMs: 2_000,
    timeToLateLimitMs: 6_000,
    remainingMs: 1_000,
    isWithinWeight: true,
    hasStarted: false,
    acceptedAt: 0,
    ...changes,
  };
}

function createCandidate(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    id,
    rack: 'r1',
    labels: ['a', 'r1'],
    capacity: { cpuMillis: 4 * CORE, memoryMb: 4_000, gpus: 0 },
    used: { cpuMillis: 0, memoryMb: 0, gpus: 0 },
    hasPersistent: false,
    slowness: 1,
    ...changes,
  };
}

function createRequest(step: Partial<Step> = {}): PlacementRequest {
  const merged = { ...STEP, ...step };
  return {
    step: merged,
    footprint: merged.request,
    remoteFactor: 2,
    stepRack: undefined,
    countOn: () => 0,
    failedOn: new Set(),
  };
}

describe('compareUrgency', () => {
  it('orders a step that can still meet its objective before one that cannot', () => {
    const onTime = createCriteria({ timeToObjectiveMs: 1_200 });
    const late = createCriteria({ timeToObjectiveMs: 900 });
    assert.ok(compareUrgency(onTime, late) < 0);
  });

  it('orders persistent steps first and steps beyond the late limit last', () => {
    const steps = [
      createCriteria({ timeToObjectiveMs: -9_000, timeToLateLimitMs: -1 }),
      createCriteria(),
      createCriteria({ isPersistent: true }),
    ].sort(compareUrgency);
    assert.deepEqual(
      steps.map(({ isPersistent, timeToObjectiveMs }) => [isPersistent, timeToObjectiveMs]),
      [
        [true, 2_000],
        [false, 2_000],
        [false, -9_000],
      ],
    );
  });

  it('orders a team within its weight before one that exceeds it', () => {
    const within = createCriteria({ timeToObjectiveMs: 3_000 });
    const beyond = createCriteria({ isWithinWeight: false, timeToObjectiveMs: 1_500 });
    assert.ok(compareUrgency(within, beyond) < 0);
  });
});

describe('chooseTarget', () => {
  it('prefers a target on the rack of the data to a less utilised one on another rack', () => {
    const near = createCandidate('near', { used: { cpuMillis: 3 * CORE, memoryMb: 0, gpus: 0 } });
    const far = createCandidate('far', { rack: 'r2' });
    assert.equal(chooseTarget(createRequest({ dataRack: 'r1' }), [far, near])?.id, 'near');
  });

  it('prefers a healthy target to a slow one', () => {
    const slow = createCandidate('slow', { slowness: 4 });
    const sound = createCandidate('sound', { used: { cpuMillis: 2 * CORE, memoryMb: 0, gpus: 0 } });
    assert.equal(chooseTarget(createRequest(), [slow, sound])?.id, 'sound');
  });

  it('packs persistent tasks together, so that fewer VMs have to stay', () => {
    const host = createCandidate('host', { hasPersistent: true });
    const empty = createCandidate('empty');
    assert.equal(chooseTarget(createRequest({ isPersistent: true }), [empty, host])?.id, 'host');
  });

  it('fills the most utilised target first, so that others are idle for the next burst', () => {
    const full = createCandidate('full', { used: { cpuMillis: 2 * CORE, memoryMb: 0, gpus: 0 } });
    assert.equal(chooseTarget(createRequest(), [createCandidate('empty'), full])?.id, 'full');
  });

  it('returns undefined if a single resource does not suffice', () => {
    const full = createCandidate('full', { used: { cpuMillis: 0, memoryMb: 3_950, gpus: 0 } });
    assert.equal(chooseTarget(createRequest(), [full]), undefined);
  });
});

describe('isWithinCap', () => {
  it('checks each resource separately and takes 0 as no limit', () => {
    const cap = { cpuMillis: 2 * CORE, memoryMb: 0, gpus: 0 };
    const running = { cpuMillis: CORE, memoryMb: 9_999, gpus: 8 };
    assert.ok(isWithinCap(cap, running, STEP.request));
    assert.equal(isWithinCap(cap, { ...running, cpuMillis: CORE + 1 }, STEP.request), false);
  });
});

describe('TargetHealth', () => {
  it('suspects a target on which different jobs fail, but not one on which a single job fails', () => {
    const health = new TargetHealth();
    health.recordFailure('poison', 0);
    health.recordFailure('poison', 1);
    assert.equal(health.isSuspect(2), false);
    health.recordFailure('other', 2);
    assert.ok(health.isSuspect(3));
  });

  it('stops suspecting a target after a success', () => {
    const health = new TargetHealth();
    health.recordFailure('a', 0);
    health.recordFailure('b', 0);
    health.recordSuccess(1);
    assert.equal(health.isSuspect(1), false);
  });
});

describe('ArrivalMeter', () => {
  it('shows the load of a burst before the queue is long', () => {
    const meter = new ArrivalMeter();
    for (let at = 0; at < 400; at += 50) meter.record({ at, cpuWork: 12_000_000, memoryWork: 0 });
    assert.ok(meter.computeLoad(400).cpuMillis >= 200 * CORE);
  });

  it('stays near the mean load if a few submissions are far larger than most', () => {
    const meter = new ArrivalMeter();
    const small = 10_000_000;
    const perMs = 1 / 100;
    const large = 30 * small;
    const load = perMs * (0.9 * small + 0.1 * large);
    for (let index = 0; index < 60; index += 1) {
      const at = index / perMs;
      meter.record({ at, cpuWork: index % 10 === 5 ? large : small, memoryWork: 0 });
      if (index < 30) continue;
      const { cpuMillis } = meter.computeLoad(at);
      assert.ok(cpuMillis > load / 2 && cpuMillis < 2 * load, `${cpuMillis} of ${load} at ${at}`);
    }
  });

  it('does not take a single large submission for a burst', () => {
    const meter = new ArrivalMeter();
    meter.record({ at: 0, cpuWork: 120_000_000, memoryWork: 0 });
    assert.equal(meter.computeLoad(10).cpuMillis, 0);
  });
});

describe('WeightMeter', () => {
  it('allows a short burst and then only submissions at the rate of the weight', () => {
    const meter = new WeightMeter();
    const outcomes = Array.from({ length: 100 }, (_, index) =>
      meter.record('kurzeme', 2, index * 100),
    );
    assert.ok(outcomes.slice(0, 10).every(Boolean));
    const later = outcomes.slice(50).filter(Boolean).length;
    assert.ok(later >= 8 && later <= 12, `${later} of 50 within a weight of 2 a second`);
  });
});

describe('decidePace', () => {
  it('falls to 0 while a serving task exceeds its latency target and recovers slowly', () => {
    let pace = 100;
    const over = [{ tailLatencyMs: 150, latencyTargetMs: 100 }];
    for (let round = 0; round < 5; round += 1) pace = decidePace(pace, over);
    assert.equal(pace, 0);
    assert.ok(decidePace(pace, [{ tailLatencyMs: 40, latencyTargetMs: 100 }]) < 50);
  });

  it('keeps the pace while the tail latency is between the two thresholds', () => {
    assert.equal(decidePace(60, [{ tailLatencyMs: 70, latencyTargetMs: 100 }]), 60);
  });
});
