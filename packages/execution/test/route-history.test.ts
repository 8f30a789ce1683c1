import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { AttemptPhase } from '@currantgap/jobs';
import { OWNER_PART } from '@currantgap/ownership';
import { StoreFailure, waitUntil } from '@currantgap/standins';
import { ROUTE_TABLE } from '../src/route-history.ts';
import { buildAttempt } from '../src/run-orders.ts';
import { createRouteRow, ROUTE, TermHarness } from './term-harness.ts';

const MOVED = { ...ROUTE, service: 'velves' };
/** Longer than the definition of a dropped route is kept without jobs. */
const RETENTION_MS = 61_000;
/** Longer than the pause between two searches for services that are no longer used. */
const SEARCH_MS = 1_500;

function move(harness: TermHarness): void {
  harness.configuration = { ...harness.configuration, routes: [MOVED] };
  harness.context.routeHistory.refresh();
}

function readServices({ store }: TermHarness): readonly string[] {
  const row = store.peek({ table: ROUTE_TABLE, part: OWNER_PART, key: ROUTE.name });
  return row === undefined ? [] : (JSON.parse(row.value) as { services: string[] }).services;
}

// Review case 2: without the record a successor does not know where tasks of a moved queue may run.
describe('the services of a route', () => {
  let harness: TermHarness;

  beforeEach(async () => {
    harness = new TermHarness();
    await harness.writeFence();
  });

  afterEach(() => {
    harness.context.writer.stop();
  });

  it('are stored before the first start on a target of a new one', async () => {
    const { routeHistory } = harness.context;
    assert.ok(routeHistory.canStart(ROUTE));
    harness.store.failure = StoreFailure.Down;
    move(harness);
    assert.equal(routeHistory.canStart(MOVED), false);
    harness.store.failure = StoreFailure.None;
    await waitUntil(() => routeHistory.canStart(MOVED));
    assert.deepEqual(readServices(harness), ['kartes', 'velves']);
  });

  it('count as stored only if no write without an answer can take them away', async () => {
    const { routeHistory, writer } = harness.context;
    move(harness);
    await waitUntil(() => routeHistory.canStart(MOVED));
    harness.store.failure = StoreFailure.Late;
    harness.advance(SEARCH_MS);
    routeHistory.sweep();
    await writer.flush();
    assert.ok(routeHistory.canStart(MOVED));
    assert.equal(routeHistory.canStart(ROUTE), false);
  });

  it('keep one that the route has left for as long as a run may be active there', async () => {
    const { routeHistory } = harness.context;
    const target = harness.addTarget('t1');
    const task = harness.addJob('0000000000000001', [{}]).openOccurrence(0).steps[0]?.tasks[0];
    assert.ok(task);
    const attempt = buildAttempt(target, 1, AttemptPhase.Running, harness.now);
    harness.fleet.assign(target, task, attempt);
    move(harness);
    harness.advance(SEARCH_MS);
    routeHistory.sweep();
    assert.deepEqual(routeHistory.listServices(ROUTE.name), ['kartes', 'velves']);
    harness.fleet.unassign(target, { task, attempt });
    harness.context.reconciliation.expectReport({ id: 't9', service: 'kartes' });
    harness.advance(SEARCH_MS);
    routeHistory.sweep();
    assert.deepEqual(routeHistory.listServices(ROUTE.name), ['kartes', 'velves']);
    harness.context.reconciliation.recordReport('t9');
    harness.advance(SEARCH_MS);
    routeHistory.sweep();
    await waitUntil(() => readServices(harness).join() === 'velves');
  });

  it('are removed with the definition some time after a dropped route has had its last job', () => {
    const { context } = harness;
    const { routeHistory, active } = context;
    const job = harness.addJob('0000000000000001', [{}]);
    harness.configuration = { ...harness.configuration, routes: [] };
    harness.advance(RETENTION_MS);
    routeHistory.sweep();
    harness.advance(SEARCH_MS);
    routeHistory.sweep();
    assert.deepEqual(routeHistory.findDefinition(ROUTE.name)?.service, ROUTE.service);
    active.delete(job.id);
    harness.advance(RETENTION_MS);
    routeHistory.sweep();
    assert.equal(routeHistory.findDefinition(ROUTE.name), undefined);
  });

  it('are kept by an owner that has not read the jobs of a dropped route yet', () => {
    const { routeHistory } = harness.context;
    harness.advance(RETENTION_MS);
    routeHistory.load([createRouteRow('dropped', ['kartes'])]);
    routeHistory.sweep();
    assert.equal(routeHistory.findDefinition('dropped')?.service, 'kartes');
  });

  it('are replaced if the stored row is malformed', async () => {
    const { routeHistory } = harness.context;
    routeHistory.load([{ ...createRouteRow(ROUTE.name, []), value: '{"services":1}', version: 0 }]);
    await waitUntil(() => routeHistory.canStart(ROUTE));
    assert.deepEqual(readServices(harness), ['kartes']);
  });
});
