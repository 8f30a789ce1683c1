import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { waitUntil } from '@currantgap/standins';
import fc from 'fast-check';
import { decodeAnnouncement, encodeAnnouncement } from '../src/messages.ts';
import { EPOCH, ForwardingHarness } from './harness.ts';

function createEvidence(epoch: number) {
  const waits = [{ priority: 0, waitMs: 700, growth: 2 }];
  const pools = [{ service: 'kartes', teams: [{ team: 'kurzeme', isBeyondShare: true, waits }] }];
  return { epoch, largestTask: { cpuMillis: 64_000, memoryMb: 1_000, gpus: 0 }, pools };
}

describe('an announcement of evidence', () => {
  it('reaches every forwarder, unless it is of another term than its connection', async () => {
    const harness = new ForwardingHarness();
    await harness.open();
    try {
      harness.addForwarder('n1');
      harness.addForwarder('n2');
      await waitUntil(() => harness.pool.size === 2);
      harness.pool.announce(createEvidence(EPOCH - 1));
      harness.pool.announce(createEvidence(EPOCH));
      await waitUntil(() => harness.evidence.length === 2);
      assert.deepEqual(harness.evidence.map(({ node }) => node).sort(), ['n1', 'n2']);
      assert.deepEqual(harness.evidence[0]?.evidence, createEvidence(EPOCH));
    } finally {
      harness.close();
    }
  });

  it('is skipped without an exception if it is malformed', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (admission) => {
        const decoded = decodeAnnouncement({ admission });
        assert.ok(decoded === undefined || decoded.isErr() || decoded.value.epoch >= 0);
      }),
    );
    assert.equal(decodeAnnouncement({}), undefined);
    assert.equal(decodeAnnouncement(null), undefined);
    const encoded: unknown = JSON.parse(JSON.stringify(encodeAnnouncement(createEvidence(1))));
    assert.deepEqual(decodeAnnouncement(encoded)?._unsafeUnwrap(), createEvidence(1));
  });
});
