import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  computePoolWaits,
  ContentionTracker,
  decodeEvidence,
  encodeEvidence,
  type AdmissionEvidence,
} from '@currantgap/admission';
import fc from 'fast-check';
import { createHeld, createResources, createWait } from './harness.ts';

describe('decodeEvidence', () => {
  const { evidence } = createHeld([createWait(1_200, true), createWait(0, false, 'latgale')]);

  it('decodes what was encoded', () => {
    for (const sent of [evidence, { ...evidence, computedAt: 7 }]) {
      const text = JSON.stringify(encodeEvidence(sent));
      assert.deepEqual(decodeEvidence(JSON.parse(text))._unsafeUnwrap(), sent);
    }
  });

  it('never throws, whatever it is given', () => {
    fc.assert(
      fc.property(fc.anything(), (value) => {
        decodeEvidence(value);
      }),
    );
  });

  it('rejects a message with one value replaced by anything of another type, or decodes it fully', () => {
    fc.assert(
      fc.property(fc.jsonValue(), fc.nat({ max: 2 }), fc.nat({ max: 2 }), (junk, place, field) => {
        const row: unknown[] = ['kurzeme', 1, [[0, 5, 1]]];
        row[field] = junk;
        const places: unknown[] = [{ epoch: junk }, { largest: junk }, { pools: [['p', [row]]] }];
        const message = { ...(encodeEvidence(evidence) as object), ...(places[place] as object) };
        const result = decodeEvidence(message);
        if (result.isErr()) return;
        const { epoch, pools }: AdmissionEvidence = result.value;
        assert.ok(Number.isFinite(epoch));
        for (const { team, waits } of pools.flatMap(({ teams }) => teams)) {
          assert.equal(typeof team, 'string');
          assert.ok(waits.every(({ waitMs }) => waitMs >= 0));
        }
      }),
    );
  });
});

describe('computePoolWaits', () => {
  const NONE = createResources(0);
  const createTeam = (team: string, workCoreSeconds: number, waitingCores = workCoreSeconds) => ({
    team,
    weight: 1,
    held: NONE,
    persistent: NONE,
    waiting: createResources(waitingCores),
    work: [{ priority: 0, work: createResources(workCoreSeconds * 1_000), arriving: NONE }],
  });
  const pool = {
    service: 'kartes',
    capacity: createResources(10),
    extra: NONE,
    extraAfterMs: 0,
    teams: [createTeam('hot', 100), createTeam('small', 1)],
  };

  it('lets a hot team wait for its own work and a small one hardly', () => {
    const [hot, small] = computePoolWaits(pool).teams;
    assert.deepEqual([hot?.isBeyondShare, small?.isBeyondShare], [true, false]);
    assert.ok(Math.abs((hot?.waits[0]?.waitMs ?? 0) - 11_111) < 1);
    assert.equal(small?.waits[0]?.waitMs, 200);
  });

  it('counts VMs that can still come, from the time at which they can be there', () => {
    const later = { ...pool, extra: createResources(90), extraAfterMs: 1_500 };
    const waitMs = computePoolWaits(later).teams[0]?.waits[0]?.waitMs ?? 0;
    assert.ok(waitMs > 1_500 && waitMs < 3_000, `${waitMs} ms`);
  });

  it('reports no wait and nobody beyond a share while the pool has room', () => {
    const idle = { ...pool, teams: [createTeam('hot', 5), createTeam('small', 1)] };
    assert.ok(computePoolWaits(idle).teams.every(({ isBeyondShare }) => !isBeyondShare));
  });
});

describe('ContentionTracker', () => {
  const createPressure = (waitMs: number) => ({
    evidence: { service: 'kartes', teams: [createWait(waitMs)] },
    tolerableWaitMs: 600,
  });

  it('begins at the wait that callers can bear, and ends below half of it with one last message', () => {
    const tracker = new ContentionTracker();
    assert.equal(tracker.update([createPressure(500)]), undefined);
    assert.deepEqual(tracker.update([createPressure(700)])?.begun, ['kartes']);
    assert.equal(tracker.update([createPressure(400)])?.pools.length, 1);
    const last = tracker.update([createPressure(200)]);
    assert.deepEqual([last?.ended, last?.pools], [['kartes'], []]);
    assert.equal(tracker.update([createPressure(200)]), undefined);
  });
});
