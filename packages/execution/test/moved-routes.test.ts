import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { TakeOverHarness } from './take-over-harness.ts';

const FIRST = '0000000000000001';
const LATER = '0000000000000002';
/** Milliseconds after which a predecessor that still runs knows that it is deposed. */
const DEPOSED_MS = 1_000;
/** Longer than an owner takes to store a change of the configuration. */
const SETTLED_MS = 100;

// Review case 2: a new owner waited only for the targets of the service to which the queue was sent at
// that time, and started tasks a second time that ran on a silent target of the earlier one (TWICE).
describe('a task that runs on a silent target of a service that its queue has left', () => {
  let harness: TakeOverHarness;

  beforeEach(async () => {
    harness = new TakeOverHarness();
    await harness.register('t1', 'kartes');
    await harness.register('t2', 'velves');
    await harness.takeOver();
    await harness.submit(FIRST, [{}]);
    assert.deepEqual(await harness.waitForStarts(1), { [`${FIRST}.0.0.0`]: 't1' });
  });

  afterEach(() => {
    harness.close();
  });

  /** Checks that a later submission starts on the new service, but the silent run is not repeated. */
  async function checkNotRepeated(): Promise<void> {
    await harness.submit(LATER, [{}]);
    await sleep(SETTLED_MS);
    assert.equal(harness.targets.starts.length, 1);
    harness.clock.advanceTo(harness.clock.now + DEPOSED_MS);
    const started = await harness.waitForStarts(2);
    assert.deepEqual(started, { [`${FIRST}.0.0.0`]: 't1', [`${LATER}.0.0.0`]: 't2' });
    await sleep(SETTLED_MS);
    assert.equal(harness.targets.starts.length, 2);
  }

  async function move(...services: readonly string[]): Promise<void> {
    for (const service of services) {
      harness.configure({ service });
      await sleep(SETTLED_MS);
    }
    harness.targets.silent.add('t1');
  }

  it('is not started on the new service by a new owner', async () => {
    await move('velves');
    await harness.takeOver();
    await checkNotRepeated();
  });

  it('is not started after two moves, nor after two changes of owner', async () => {
    await move('rezerve', 'velves');
    await harness.takeOver();
    await harness.takeOver();
    await checkNotRepeated();
  });

  it('is not started by an owner that is the first to see the move', async () => {
    harness.targets.silent.add('t1');
    await harness.takeOver();
    harness.configure({ service: 'velves' });
    await checkNotRepeated();
  });

  it('is not started if the queue was dropped and has come back with another service', async () => {
    harness.configure();
    await sleep(SETTLED_MS);
    await move('velves');
    await harness.takeOver();
    await checkNotRepeated();
  });

  it('is started on the new service once no lease of an earlier term can last', async () => {
    await move('velves');
    await harness.takeOver();
    harness.clock.advanceTo(harness.clock.now + 5_000);
    await harness.waitForStarts(2);
    assert.equal(harness.targets.starts[1]?.target, 't2');
  });
});
