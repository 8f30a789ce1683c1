import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Task, VirtualClock } from '@currantgap/tasks';

class Collector extends Task<number> {
  readonly handled: number[] = [];

  protected handle(message: number): void {
    this.handled.push(message);
  }
}

async function waitForNextTurn(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

describe('a task', () => {
  it('handles queued messages in order within a few event loop turns', async () => {
    const collector = new Collector();
    collector.start();
    for (let message = 0; message < 200; message += 1) collector.post(message);
    for (let count = 0; count < 5; count += 1) await waitForNextTurn();
    assert.deepEqual(
      collector.handled,
      Array.from({ length: 200 }, (_, message) => message),
    );
  });

  it('refuses messages when its mailbox is full', () => {
    const collector = new Collector({ mailboxSize: 2 });
    assert.deepEqual(
      [collector.post(1), collector.post(2), collector.post(3)],
      [true, true, false],
    );
  });

  it('refuses messages after it is stopped', () => {
    const collector = new Collector();
    collector.start();
    collector.stop();
    assert.equal(collector.post(1), false);
  });
});

describe('the virtual clock', () => {
  it('runs timers in order of their deadlines and skips stopped ones', () => {
    const clock = new VirtualClock();
    const ran: string[] = [];
    clock.schedule(20, () => ran.push('late'));
    clock.schedule(10, () => ran.push('early'));
    clock.schedule(15, () => ran.push('stopped')).stop();
    clock.advanceTo(20);
    assert.deepEqual(ran, ['early', 'late']);
  });
});
