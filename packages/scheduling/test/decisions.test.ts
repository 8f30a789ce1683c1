import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { STEP_DEFAULTS } from '@currantgap/jobs';
import type { Step } from '@currantgap/model';
import {
  ArrivalMeter,
  chooseTarget,
  compareUrgency,
  decidePace,
  DurationModel,
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

function createUrgent(changes: Partial<OrderingCriteria> = {}): OrderingCriteria {
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

describe('the order of steps', () => {
  it('puts what can still meet its objective before what cannot', () => {
    const onTime = createUrgent({ timeToObjectiveMs: 1_200 });
    const late = createUrgent({ timeToObjectiveMs: 900 });
    assert.ok(compareUrgency(onTime, late) < 0);
  });

  it('puts persistent tasks first and what earns nothing any more last', () => {
    const steps = [
      createUrgent({ timeToObjectiveMs: -9_000, timeToLateLimitMs: -1 }),
      createUrgent(),
      createUrgent({ isPersistent: true }),
    ].sort(compareUrgency);
    assert.deepEqual(
      steps.map(({ isPersistent, timeToObjectiveMs: leftMs }) => [isPersistent, leftMs]),
      [
        [true, 2_000],
        [false, 2_000],
        [false, -9_000],
      ],
    );
  });

  it('puts a team within its weight before one that sends beyond it', () => {
    const within = createUrgent({ timeToObjectiveMs: 3_000 });
    const beyond = createUrgent({ isWithinWeight: false, timeToObjectiveMs: 1_500 });
    assert.ok(compareUrgency(within, beyond) < 0);
  });
});

describe('placement', () => {
  it('takes the target near the data before an emptier one on another rack', () => {
    const near = createCandidate('near', { used: { cpuMillis: 3 * CORE, memoryMb: 0, gpus: 0 } });
    const far = createCandidate('far', { rack: 'r2' });
    assert.equal(chooseTarget(createRequest({ dataRack: 'r1' }), [far, near])?.id, 'near');
  });

  it('takes a sound target before a slow one', () => {
    const slow = createCandidate('slow', { slowness: 4 });
    const sound = createCandidate('sound', { used: { cpuMillis: 2 * CORE, memoryMb: 0, gpus: 0 } });
    assert.equal(chooseTarget(createRequest(), [slow, sound])?.id, 'sound');
  });

  it('packs persistent tasks beside others, so that fewer VMs have to stay', () => {
    const host = createCandidate('host', { hasPersistent: true });
    const empty = createCandidate('empty');
    assert.equal(chooseTarget(createRequest({ isPersistent: true }), [empty, host])?.id, 'host');
  });

  it('fills the fullest target first, so that others fall idle for the next burst', () => {
    const full = createCandidate('full', { used: { cpuMillis: 2 * CORE, memoryMb: 0, gpus: 0 } });
    assert.equal(chooseTarget(createRequest(), [createCandidate('empty'), full])?.id, 'full');
  });

  it('finds none where the room is short of a single resource', () => {
    const full = createCandidate('full', { used: { cpuMillis: 0, memoryMb: 3_950, gpus: 0 } });
    assert.equal(chooseTarget(createRequest(), [full]), undefined);
  });
});

describe('a cap', () => {
  it('holds for each resource by itself; 0 is no limit', () => {
    const cap = { cpuMillis: 2 * CORE, memoryMb: 0, gpus: 0 };
    const running = { cpuMillis: CORE, memoryMb: 9_999, gpus: 8 };
    assert.ok(isWithinCap(cap, running, STEP.request));
    assert.equal(isWithinCap(cap, { ...running, cpuMillis: CORE + 1 }, STEP.request), false);
  });
});

describe('health learned from ends', () => {
  it('suspects a target on which different jobs fail, and not one job that always fails', () => {
    const health = new TargetHealth();
    health.recordFailure('poison', 0);
    health.recordFailure('poison', 1);
    assert.equal(health.isSuspect(2), false);
    health.recordFailure('other', 2);
    assert.ok(health.isSuspect(3));
  });

  it('trusts a target again after a success', () => {
    const health = new TargetHealth();
    health.recordFailure('a', 0);
    health.recordFailure('b', 0);
    health.recordSuccess(1);
    assert.equal(health.isSuspect(1), false);
  });
});

describe('durations', () => {
  it('are learned against the estimates of each route', () => {
    const durations = new DurationModel();
    for (let run = 0; run < 50; run += 1) durations.record('checks', STEP, 2_000);
    assert.ok(Math.abs(durations.estimateTaskMs('checks', STEP) - 2_000) < 50);
    assert.equal(durations.estimateTaskMs('other', STEP), 1_000);
  });
});

describe('arrivals of a burst', () => {
  it('show the load that is coming before the queue is long', () => {
    const meter = new ArrivalMeter();
    for (let at = 0; at < 400; at += 50) meter.record({ at, cpuWork: 12_000_000, memoryWork: 0 });
    assert.ok(meter.computeLoad(400).cpuMillis >= 200 * CORE);
  });

  it('show the load of their rate, though a few of them are far larger than most', () => {
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

  it('are no burst when one large submission comes alone', () => {
    const meter = new ArrivalMeter();
    meter.record({ at: 0, cpuWork: 120_000_000, memoryWork: 0 });
    assert.equal(meter.computeLoad(10).cpuMillis, 0);
  });
});

describe('the weight of a team', () => {
  it('lets a short burst pass and marks what is beyond it for longer', () => {
    const meter = new WeightMeter();
    const outcomes = Array.from({ length: 100 }, (_, index) =>
      meter.record('kurzeme', 2, index * 100),
    );
    assert.ok(outcomes.slice(0, 10).every(Boolean));
    const later = outcomes.slice(50).filter(Boolean).length;
    assert.ok(later >= 8 && later <= 12, `${later} of 50 within a weight of 2 a second`);
  });
});

describe('the pace of fillers', () => {
  it('falls to nothing while a serving task stays over its target, and comes back slowly', () => {
    let pace = 100;
    const over = [{ tailLatencyMs: 150, latencyTargetMs: 100 }];
    for (let change = 0; change < 5; change += 1) pace = decidePace(pace, over);
    assert.equal(pace, 0);
    assert.ok(decidePace(pace, [{ tailLatencyMs: 40, latencyTargetMs: 100 }]) < 50);
  });

  it('is left alone where the tail is well placed', () => {
    assert.equal(decidePace(60, [{ tailLatencyMs: 70, latencyTargetMs: 100 }]), 60);
  });
});
