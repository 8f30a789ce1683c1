import assert from 'node:assert/strict';
import { afterEach, describe, it, mock } from 'node:test';
import { AttemptPhase, StepRun } from '@currantgap/jobs';
import { AdviceCache } from '../src/advice-cache.ts';
import { DisruptionSurvey } from '../src/disruption-budget.ts';
import { Planner } from '../src/planner.ts';
import { Quarantine } from '../src/quarantine.ts';
import { buildAttempt, RunOrders } from '../src/run-orders.ts';
import { CORE, PREDECESSOR, TermHarness } from './term-harness.ts';

const GANG = '00000000000000a1';
const OTHER = '00000000000000a2';

function createPlanner({ context }: TermHarness): Planner {
  const advice = new AdviceCache(context, undefined);
  const quarantine = new Quarantine(context.clock, () => undefined);
  const copying = { requestReport: () => undefined };
  return new Planner(context, new RunOrders(context), advice, quarantine, copying);
}

// Review case 13, LOST: a gang that did not fit stopped each owner for seconds in every plan.
describe('a large gang that does not fit', () => {
  const request = { cpuMillis: CORE, memoryMb: 1, gpus: 0 };

  afterEach(() => {
    mock.restoreAll();
  });

  it('costs a plan no walk over its tasks, and others start beside it', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    const small = { cpuMillis: 1, memoryMb: 1, gpus: 0 };
    const job = harness.addJob(GANG, [{ count: 17_000, isGang: true, request: small }]);
    harness.addJob(OTHER, [{}]);
    const planner = createPlanner(harness);
    const descriptor = Object.getOwnPropertyDescriptor(StepRun.prototype, 'definition');
    let reads = 0;
    mock.getter(StepRun.prototype, 'definition', function read(this: StepRun) {
      reads += 1;
      return descriptor?.get?.call(this) as unknown;
    });
    for (let pass = 0; pass < 10; pass += 1) planner.plan();
    const [step] = job.openOccurrence(0).steps;
    assert.equal([...(step?.records ?? [])].length, 0);
    assert.ok(reads < 1_000, `${reads} reads`);
    assert.deepEqual(
      harness.targetPort.starts.map(({ task }) => task),
      [`${OTHER}.0.0.0`],
    );
  });

  it('starts as a whole once there is room', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    harness.addJob(GANG, [{ count: 6, isGang: true, request }]);
    const planner = createPlanner(harness);
    planner.plan();
    assert.equal(harness.targetPort.starts.length, 0);
    harness.addTarget('t2');
    planner.plan();
    assert.equal(harness.targetPort.starts.length, 6);
  });
});

// Read in the third review: a gang started once one of its members might, without asking for the others.
describe('a gang of an earlier term', () => {
  it('waits for a silent target that may run one of its members', () => {
    const harness = new TermHarness({ predecessor: PREDECESSOR });
    harness.addTarget('t1');
    harness.addJob(GANG, [{ count: 2, isGang: true }], true);
    const { reconciliation } = harness.context;
    reconciliation.expectReport({ id: 't9', service: 'kartes', tasks: [`${GANG}.0.0.1`] });
    const planner = createPlanner(harness);
    planner.plan();
    assert.equal(harness.targetPort.starts.length, 0);
    reconciliation.recordReport('t9');
    planner.plan();
    assert.equal(harness.targetPort.starts.length, 2);
  });
});

// The class of review case 13: each task of a step was compared with all others of it, whenever a target drained.
describe('the disruption budget of a step with many tasks', () => {
  it('is computed once for all tasks of a sweep', () => {
    const harness = new TermHarness();
    const { context, fleet } = harness;
    const target = harness.addTarget('t1');
    const count = 400;
    const job = harness.addJob(GANG, [{ count, isPersistent: true, disruptionBudget: 2 }]);
    for (const task of job.openOccurrence(0).steps[0]?.tasks ?? []) {
      const attempt = buildAttempt(target, 1, AttemptPhase.Running, harness.now);
      fleet.assign(target, task, { ...attempt, percent: 100 });
    }
    const find = mock.method(fleet, 'find');
    const survey = new DisruptionSurvey(context, { countsDraining: false });
    const allowed = [...target.assignments].filter((assignment) => {
      if (!survey.canStop(assignment)) return false;
      survey.recordStop(assignment);
      assignment.attempt.phase = AttemptPhase.Stopping;
      return true;
    });
    assert.equal(allowed.length, 2);
    assert.ok(find.mock.callCount() <= 4 * count, `${find.mock.callCount()} look-ups`);
  });
});
