import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideAdmission, EvidenceHolder } from '@currantgap/admission';
import { createHeld, createRequest, createWait } from './harness.ts';

/** Milliseconds by which the owner's clock is ahead of the node's. */
const OFFSET_MS = 500_000;

/** Evidence of a backlog of a minute, computed at a time of the node's clock. */
function createEvidence(at: number, epoch = 1) {
  const { evidence } = createHeld([createWait(60_000)], epoch);
  return { ...evidence, computedAt: at + OFFSET_MS };
}

describe('EvidenceHolder', () => {
  // Guards against refusals by evidence that waited in the socket of a node that stood still.
  it('counts the age of evidence from its computation', () => {
    const holder = new EvidenceHolder();
    const refusals = [
      { at: 0, receivedAt: 2 },
      { at: 250, receivedAt: 9_000 },
      { at: 8_990, receivedAt: 9_001 },
    ].map(({ at, receivedAt }) => {
      holder.accept(createEvidence(at), receivedAt);
      return decideAdmission(createRequest(), holder.held, receivedAt) !== undefined;
    });
    assert.deepEqual(refusals, [true, false, true]);
  });

  it('relates the clock of each owner anew and takes nothing from an earlier one', () => {
    const holder = new EvidenceHolder();
    holder.accept(createEvidence(0), 0);
    holder.accept({ ...createEvidence(0, 2), computedAt: 70 }, 5_000);
    assert.equal(holder.held?.computedAt, 5_000);
    assert.equal(holder.accept(createEvidence(5_001), 5_001), false);
    assert.equal(holder.held.evidence.epoch, 2);
  });

  it('counts from its receipt where an owner of an earlier version names no time', () => {
    const holder = new EvidenceHolder();
    const { evidence } = createHeld([createWait(60_000)]);
    holder.accept(evidence, 700);
    assert.equal(holder.held?.expiresAt, 1_700);
  });
});
