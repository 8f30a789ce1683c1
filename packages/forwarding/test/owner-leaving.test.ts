import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { waitUntil } from '@currantgap/standins';
import { setLogSink } from '@currantgap/telemetry';
import { encodeRelease, isRelease } from '../src/messages.ts';
import { EPOCH, ForwardingHarness } from './harness.ts';

setLogSink(() => undefined);

describe('an owner that leaves', () => {
  it('is reported by every forwarder on its release, with the connections kept', async () => {
    const harness = new ForwardingHarness();
    await harness.open();
    try {
      harness.addForwarder('n1');
      harness.addForwarder('n2');
      await waitUntil(() => harness.pool.size === 2);
      harness.pool.announceRelease();
      await waitUntil(() => harness.leavings.length === 2);
      assert.deepEqual([...harness.leavings].sort(), ['n1', 'n2']);
      assert.equal(harness.pool.size, 2);
    } finally {
      harness.close();
    }
  });

  it('is reported when its connection ends; until then the forwarder is connected to its epoch', async () => {
    const harness = new ForwardingHarness();
    await harness.open();
    try {
      harness.addForwarder('n1');
      assert.equal(harness.isConnected('n1', EPOCH), false);
      await waitUntil(() => harness.isConnected('n1', EPOCH));
      assert.equal(harness.isConnected('n1', EPOCH + 1), false);
      harness.pool.close();
      await waitUntil(() => harness.leavings.length > 0);
      assert.equal(harness.isConnected('n1', EPOCH), false);
    } finally {
      harness.close();
    }
  });

  it('is told from other lines', () => {
    assert.ok(isRelease(JSON.parse(JSON.stringify(encodeRelease()))));
    for (const value of [null, {}, 1, 'released', { isReleased: 'yes' }]) {
      assert.equal(isRelease(value), false);
    }
  });
});
