import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { StepRun } from '@currantgap/jobs';
import { AdviceDesk } from '../src/advice-desk.ts';
import { AdvicePort, type Ticket } from '../src/ports.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { ROUTE, settle, TermHarness } from './term-harness.ts';

const VALID_MS = 2_000;
const GUARDED = { ...ROUTE, advice: { validMs: VALID_MS, decideMs: 50, eachMs: 5 } };

/** An advice service that allows some targets and notes what it is asked. */
class ScriptedAdvice extends AdvicePort {
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

class Desk {
  readonly harness = new TermHarness();
  readonly port = new ScriptedAdvice();
  readonly desk = new AdviceDesk(this.harness.context, this.port);
  readonly targets = ['t1', 't2', 't3'].map((id) => this.harness.addTarget(id));
  readonly step: StepRun;

  constructor() {
    const [step] = this.harness.addJob('0000000000000001', [{ count: 3 }]).openOccurrence(0).steps;
    assert.ok(step);
    this.step = step;
  }

  async list(tasks = 3): Promise<string[]> {
    const allowed = this.desk.listAllowed(this.step, GUARDED, this.targets, tasks);
    await settle();
    return getIds(allowed);
  }
}

function getIds(targets: readonly TargetRecord[]): string[] {
  return targets.map(({ id }) => id);
}

describe('the advice desk', () => {
  it('asks nothing for a route without a policy', async () => {
    const { desk, step, targets, port } = new Desk();
    assert.deepEqual(getIds(desk.listAllowed(step, ROUTE, targets, 3)), ['t1', 't2', 't3']);
    await settle();
    assert.deepEqual(port.asked, []);
  });

  it('lets a step start only where a ticket was given, and never asks about the others again', async () => {
    const desk = new Desk();
    desk.port.allowed = ['t2'];
    assert.deepEqual(await desk.list(), []);
    assert.deepEqual(await desk.list(), ['t2']);
    assert.equal(desk.desk.getTicket(desk.step, 't2'), 'ticket of t2');
    await desk.list();
    assert.deepEqual(desk.port.asked, [['t1', 't2', 't3']]);
  });

  it('uses no ticket that may have run out when the start arrives, and asks for a new one', async () => {
    const desk = new Desk();
    desk.port.allowed = ['t1', 't2', 't3'];
    await desk.list();
    desk.harness.pass(VALID_MS);
    assert.deepEqual(await desk.list(), []);
    assert.equal(desk.port.asked.length, 2);
    assert.equal((await desk.list()).length, 3);
  });

  it('waits before it asks a service again that gave no answer', async () => {
    const desk = new Desk();
    desk.port.allowed = undefined;
    await desk.list();
    await desk.list();
    assert.equal(desk.port.asked.length, 1);
    desk.harness.pass(1_000);
    desk.port.allowed = ['t1'];
    await desk.list();
    assert.deepEqual(await desk.list(1), ['t1']);
  });

  it('asks again for a target that did not take its ticket, and forgets ended jobs', async () => {
    const desk = new Desk();
    desk.port.allowed = ['t1', 't2', 't3'];
    await desk.list();
    desk.desk.drop(desk.step, 't1');
    assert.deepEqual(await desk.list(), ['t2', 't3']);
    assert.deepEqual(desk.port.asked.at(-1), ['t1']);
    desk.harness.context.active.clear();
    desk.desk.sweep();
    assert.equal(desk.desk.getTicket(desk.step, 't2'), undefined);
  });
});
