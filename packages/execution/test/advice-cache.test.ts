import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { StepRun } from '@currantgap/jobs';
import { AdviceCache } from '../src/advice-cache.ts';
import { AdvicePort, type Ticket } from '../src/ports.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { ROUTE, flushPromises, TermHarness } from './term-harness.ts';

const VALID_MS = 2_000;
const ROUTE_WITH_ADVICE = { ...ROUTE, advice: { validMs: VALID_MS, decideMs: 50, eachMs: 5 } };

/** An advice service that allows the given targets and records the requests. */
class FakeAdvicePort extends AdvicePort {
  readonly asked: (readonly string[])[] = [];
  allowed: readonly string[] | undefined = [];

  async requestTickets(
    _: string,
    targetIds: readonly string[],
  ): Promise<readonly Ticket[] | undefined> {
    this.asked.push(targetIds);
    const tickets = this.allowed
      ?.filter((id) => targetIds.includes(id))
      .map((targetId) => ({ targetId, ticket: `ticket of ${targetId}` }));
    return Promise.resolve(tickets);
  }
}

class Fixture {
  readonly harness = new TermHarness();
  readonly port = new FakeAdvicePort();
  readonly cache = new AdviceCache(this.harness.context, this.port);
  readonly targets = ['t1', 't2', 't3'].map((id) => this.harness.addTarget(id));
  readonly step: StepRun;

  constructor() {
    const [step] = this.harness.addJob('0000000000000001', [{ count: 3 }]).openOccurrence(0).steps;
    assert.ok(step);
    this.step = step;
  }

  async list(tasks = 3): Promise<string[]> {
    const allowed = this.cache.listAllowed(this.step, ROUTE_WITH_ADVICE, this.targets, tasks);
    await flushPromises();
    return getIds(allowed);
  }
}

function getIds(targets: readonly TargetRecord[]): string[] {
  return targets.map(({ id }) => id);
}

describe('the advice cache', () => {
  it('sends no request for a route without an advice policy', async () => {
    const { cache, step, targets, port } = new Fixture();
    assert.deepEqual(getIds(cache.listAllowed(step, ROUTE, targets, 3)), ['t1', 't2', 't3']);
    await flushPromises();
    assert.deepEqual(port.asked, []);
  });

  it('allows only targets with a ticket and does not request denied targets again', async () => {
    const fixture = new Fixture();
    fixture.port.allowed = ['t2'];
    assert.deepEqual(await fixture.list(), []);
    assert.deepEqual(await fixture.list(), ['t2']);
    assert.equal(fixture.cache.getTicket(fixture.step, 't2'), 'ticket of t2');
    await fixture.list();
    assert.deepEqual(fixture.port.asked, [['t1', 't2', 't3']]);
  });

  it('does not use a ticket that may expire before the start arrives, and requests a new one', async () => {
    const fixture = new Fixture();
    fixture.port.allowed = ['t1', 't2', 't3'];
    await fixture.list();
    fixture.harness.advance(VALID_MS);
    assert.deepEqual(await fixture.list(), []);
    assert.equal(fixture.port.asked.length, 2);
    assert.equal((await fixture.list()).length, 3);
  });

  it('waits before it retries a request that got no response', async () => {
    const fixture = new Fixture();
    fixture.port.allowed = undefined;
    await fixture.list();
    await fixture.list();
    assert.equal(fixture.port.asked.length, 1);
    fixture.harness.advance(1_000);
    fixture.port.allowed = ['t1'];
    await fixture.list();
    assert.deepEqual(await fixture.list(1), ['t1']);
  });

  it('requests a new ticket for a target that rejected one, and removes ended jobs', async () => {
    const fixture = new Fixture();
    fixture.port.allowed = ['t1', 't2', 't3'];
    await fixture.list();
    fixture.cache.removeTicket(fixture.step, 't1');
    assert.deepEqual(await fixture.list(), ['t2', 't3']);
    assert.deepEqual(fixture.port.asked.at(-1), ['t1']);
    fixture.harness.context.active.clear();
    fixture.cache.sweep();
    assert.equal(fixture.cache.getTicket(fixture.step, 't2'), undefined);
  });
});
