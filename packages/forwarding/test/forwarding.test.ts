import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request } from 'node:http';
import { describe, it } from 'node:test';
import { LeaseRenewalFault, OrderOutcome, StartOutcome } from '@currantgap/execution';
import { waitUntil } from '@currantgap/standins';
import { BootClock } from '@currantgap/tasks';
import { encodeHandshake } from '../src/handshake.ts';
import {
  createStart,
  createTarget,
  EPOCH,
  ForwardingHarness,
  RENEWAL,
  REPORT,
  type RecordingPort,
} from './harness.ts';

/** Milliseconds for which a forwarder stands still: longer than calls are valid. */
const STANDSTILL_MS = 1_700;

/** A clock that a test advances, as if the process had stood still. */
class AdjustableClock extends BootClock {
  #advancedMs = 0;

  override get now(): number {
    return super.now + this.#advancedMs;
  }

  advance(ms: number): void {
    this.#advancedMs += ms;
  }
}

async function useHarness(run: (harness: ForwardingHarness) => Promise<void>): Promise<void> {
  const harness = new ForwardingHarness();
  await harness.open();
  try {
    await run(harness);
  } finally {
    harness.close();
  }
}

/** Waits until calls for the target go through one of the ports. */
async function waitForForwarding(
  harness: ForwardingHarness,
  ports: readonly RecordingPort[],
): Promise<void> {
  await waitUntil(() => {
    void harness.pool.renewLeases(createTarget('probe'), RENEWAL);
    return ports.every((port) => port.renewals.length > 0) && harness.pool.size === ports.length;
  });
}

describe('a fleet with forwarders', { concurrency: true }, () => {
  it('makes calls through a forwarder and returns their results', async () => {
    await useHarness(async (harness) => {
      const port = harness.addForwarder('n1');
      await waitForForwarding(harness, [port]);
      const target = createTarget('t1');
      const order = createStart('job.0.0.0');
      assert.equal(await harness.pool.start(target, order), StartOutcome.Accepted);
      assert.deepEqual(port.starts, [{ ...order, target: 't1' }]);
      const renewal = await harness.pool.renewLeases(target, RENEWAL);
      assert.deepEqual(renewal._unsafeUnwrap(), REPORT);
      assert.deepEqual(port.renewals.at(-1), { ...RENEWAL, target: 't1' });
      port.renewalFault = LeaseRenewalFault.Fenced;
      const fenced = await harness.pool.renewLeases(target, RENEWAL);
      assert.equal(fenced._unsafeUnwrapErr(), LeaseRenewalFault.Fenced);
      const stop = { task: 'job.0.0.0', run: 1, token: 7 };
      assert.equal(await harness.pool.stop(target, stop), OrderOutcome.Accepted);
      const pace = { ...stop, percent: 50 };
      assert.equal(await harness.pool.setPace(target, pace), OrderOutcome.Fenced);
      assert.deepEqual(harness.local.starts, []);
    });
  });

  it('gives every start its specification, also those of one job after the first', async () => {
    await useHarness(async (harness) => {
      const port = harness.addForwarder('n1');
      await waitForForwarding(harness, [port]);
      // More jobs than either end remembers.
      for (let job = 0; job < 1_200; job += 1) {
        const first = createStart(`job${job}.0.0.0`, `spec ${job}`);
        await harness.pool.start(createTarget('t1'), first);
        await harness.pool.start(createTarget('t1'), { ...first, task: `job${job}.0.0.1` });
      }
      await harness.pool.start(createTarget('t1'), createStart('job0.0.1.0', 'spec 0'));
      assert.ok(
        port.starts.every(({ task, spec }) => spec === `spec ${task.slice(3, task.indexOf('.'))}`),
      );
      assert.equal(port.starts.length, 2_401);
    });
  });

  it('prefers a forwarder in the data centre of the target', async () => {
    await useHarness(async (harness) => {
      const near = harness.addForwarder('n1', 'cesis');
      const far = harness.addForwarder('n2', 'liepaja');
      await waitUntil(() => harness.pool.size === 2);
      await waitUntil(() => {
        void harness.pool.renewLeases(createTarget('t1', 'cesis'), RENEWAL);
        return near.renewals.length > 0;
      });
      for (let task = 0; task < 20; task += 1) {
        await harness.pool.start(createTarget(`t${task}`, 'cesis'), createStart('job.0.0.0'));
      }
      assert.equal(near.starts.length, 20);
      assert.equal(far.starts.length, 0);
    });
  });

  it('makes calls itself while there is no forwarder', async () => {
    await useHarness(async (harness) => {
      await harness.pool.start(createTarget('t1'), createStart('job.0.0.0'));
      await harness.pool.stop(createTarget('t1'), { task: 'job.0.0.0', run: 1, token: 7 });
      assert.equal(harness.local.starts.length, 1);
      assert.equal(harness.local.stops.length, 1);
    });
  });

  it('does not know the outcome of a start whose forwarder is lost, and makes it nowhere else', async () => {
    await useHarness(async (harness) => {
      const port = harness.addForwarder('n1');
      await waitForForwarding(harness, [port]);
      port.isSilent = true;
      const outcome = harness.pool.start(createTarget('t1'), createStart('job.0.0.0'));
      await waitUntil(() => port.starts.length === 1);
      harness.stopForwarder('n1');
      assert.equal(await outcome, StartOutcome.Unknown);
      assert.deepEqual(harness.local.starts, []);
    });
  });

  it('repeats renewals and stops elsewhere when their forwarder is lost', async () => {
    await useHarness(async (harness) => {
      const port = harness.addForwarder('n1');
      await waitForForwarding(harness, [port]);
      port.isSilent = true;
      const renewal = harness.pool.renewLeases(createTarget('t1'), RENEWAL);
      const stop = harness.pool.stop(createTarget('t1'), { task: 'job.0.0.0', run: 1, token: 7 });
      await waitUntil(() => port.stops.length === 1);
      harness.stopForwarder('n1');
      assert.ok((await renewal).isOk());
      assert.equal(await stop, OrderOutcome.Accepted);
      assert.equal(harness.local.stops.length, 1);
    });
  });

  // Case 6 of the second review, TWICE: a forwarder that stood still made the calls that it had received before.
  it('limits each call by the clock of its forwarder, which may stand still before it reads the call', async () => {
    await useHarness(async (harness) => {
      const clock = new AdjustableClock();
      const port = harness.addForwarder('n1', 'riga-a', EPOCH, clock);
      await waitForForwarding(harness, [port]);
      const before = clock.now;
      const outcome = harness.pool.start(createTarget('t1'), createStart('job.0.0.0'));
      clock.advance(STANDSTILL_MS);
      await outcome;
      const limit = port.sendLimits.at(-1);
      assert.ok(limit !== undefined);
      assert.ok(limit > before && limit <= before + STANDSTILL_MS, `${limit} after ${before}`);
      assert.ok(limit < clock.now);
    });
  });

  it('only asks for a report when the forwarder of a renewal is lost', async () => {
    await useHarness(async (harness) => {
      const port = harness.addForwarder('n1');
      await waitForForwarding(harness, [port]);
      port.isSilent = true;
      const renewal = harness.pool.renewLeases(createTarget('t1'), RENEWAL);
      await waitUntil(() => port.renewals.some(({ target }) => target === 't1'));
      harness.stopForwarder('n1');
      assert.ok((await renewal).isOk());
      const { deadline, acknowledgedThrough } = harness.local.renewals.at(-1) ?? RENEWAL;
      assert.deepEqual([deadline, acknowledgedThrough], [undefined, 0]);
    });
  });

  it('gives a start up when the owner withdraws it', async () => {
    await useHarness(async (harness) => {
      const port = harness.addForwarder('n1');
      await waitForForwarding(harness, [port]);
      port.isSilent = true;
      const withdrawal = new AbortController();
      const order = createStart('job.0.0.0');
      const outcome = harness.pool.start(createTarget('t1'), order, withdrawal.signal);
      await waitUntil(() => port.starts.length === 1);
      withdrawal.abort();
      assert.equal(await outcome, StartOutcome.Abandoned);
    });
  });

  it('gives up a forwarder that neither closes its connection nor sends anything', async () => {
    await useHarness(async (harness) => {
      const separator = harness.address.lastIndexOf(':');
      const outgoing = request({
        host: harness.address.slice(0, separator),
        port: harness.address.slice(separator + 1),
        headers: encodeHandshake({
          node: 'n1',
          dataCentre: 'riga-a',
          cores: 1,
          linkMbps: 100,
          epoch: EPOCH,
          clockMs: performance.now(),
        }),
      });
      outgoing.end();
      await once(outgoing, 'upgrade');
      await waitUntil(() => harness.pool.size === 1);
      const outcome = harness.pool.start(createTarget('t1'), createStart('job.0.0.0'));
      assert.equal(await outcome, StartOutcome.Unknown);
      assert.equal(harness.pool.size, 0);
    });
  });

  it('refuses forwarders of an earlier owner', async () => {
    await useHarness(async (harness) => {
      harness.addForwarder('n1', 'riga-a', EPOCH - 1);
      const current = harness.addForwarder('n2');
      await waitForForwarding(harness, [current]);
      assert.deepEqual(harness.pool.listSuccessors(), ['n2']);
    });
  });

  it('closes the connection of a forwarder that sends a malformed line, and no other', async () => {
    for (const line of ['{', '{"call":1,"report":{"running":1}}\n', 'x\n']) {
      await useHarness(async (harness) => {
        const separator = harness.address.lastIndexOf(':');
        const headers = encodeHandshake({
          node: 'n0',
          dataCentre: 'riga-a',
          cores: 1,
          linkMbps: 100,
          epoch: EPOCH,
          clockMs: performance.now(),
        });
        const outgoing = request({
          host: harness.address.slice(0, separator),
          port: harness.address.slice(separator + 1),
          headers,
        });
        outgoing.end();
        const [, socket] = (await once(outgoing, 'upgrade')) as [unknown, NodeJS.WritableStream];
        await waitUntil(() => harness.pool.size === 1);
        const renewal = harness.pool.renewLeases(createTarget('t1'), RENEWAL);
        socket.write(line);
        // The renewal is made by this node once the connection has been given up.
        assert.ok((await renewal).isOk());
        const port = harness.addForwarder('n1');
        await waitForForwarding(harness, [port]);
      });
    }
  });
});
