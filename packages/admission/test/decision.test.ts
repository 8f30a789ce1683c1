import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideAdmission, EvidenceHolder, RefusalReason } from '@currantgap/admission';
import { createHeld, createRequest, createResources, createWait, ROUTE } from './harness.ts';

describe('decideAdmission', () => {
  describe('behind a backlog', () => {
    it('refuses what cannot end within three times its objective, and nothing before that', () => {
      const behind = (waitMs: number) =>
        decideAdmission(createRequest(), createHeld([createWait(waitMs)]), 10);
      assert.equal(behind(5_600), undefined);
      const refusal = behind(5_700);
      assert.deepEqual(
        [refusal?.reason, refusal?.waitMs, refusal?.evidenceAgeMs],
        [RefusalReason.Hopeless, 5_700, 10],
      );
    });

    it('counts only the work of the same and of better priorities', () => {
      const waits = [
        { priority: 0, waitMs: 100, growth: 1 },
        { priority: 3, waitMs: 60_000, growth: 1 },
      ];
      const held = createHeld([{ team: 'kurzeme', isBeyondShare: false, waits }]);
      assert.equal(decideAdmission(createRequest(), held, 0), undefined);
      const worse = createRequest({ route: { ...ROUTE, priority: 3 } });
      assert.equal(decideAdmission(worse, held, 0)?.reason, RefusalReason.Hopeless);
    });

    it('admits what can wait: scheduled, persistent and filling work', () => {
      const held = createHeld([createWait(60_000, true)]);
      for (const request of [
        createRequest({ iterations: 3 }),
        createRequest({ step: { isPersistent: true } }),
        createRequest({ step: { isFiller: true } }),
      ])
        assert.equal(decideAdmission(request, held, 0), undefined);
    });
  });

  describe('with a hot team', () => {
    it('refuses that team what would miss its objective, and admits it to others', () => {
      const held = createHeld([createWait(1_300, true, 'hot'), createWait(1_300)]);
      const hot = decideAdmission(createRequest({ team: 'hot' }), held, 0);
      assert.equal(hot?.reason, RefusalReason.BeyondShare);
      for (const team of ['kurzeme', 'unknown'])
        assert.equal(decideAdmission(createRequest({ team }), held, 0), undefined);
    });

    it('admits the hot team what still ends within its objective', () => {
      const held = createHeld([createWait(1_100, true, 'hot')]);
      assert.equal(decideAdmission(createRequest({ team: 'hot' }), held, 0), undefined);
    });
  });

  it('refuses a job that no VM can hold while its pool is contended', () => {
    const request = createRequest({ step: { request: createResources(65) } });
    const refusal = decideAdmission(request, createHeld([]), 0);
    assert.equal(refusal?.reason, RefusalReason.TooLarge);
    assert.equal(
      decideAdmission({ ...request, route: { ...ROUTE, service: 'x' } }, createHeld([]), 0),
      undefined,
    );
  });

  describe('with old or no evidence', () => {
    it('admits everything', () => {
      const held = createHeld([createWait(60_000, true)]);
      assert.equal(decideAdmission(createRequest(), undefined, 0), undefined);
      assert.notEqual(decideAdmission(createRequest(), held, 999), undefined);
      assert.equal(decideAdmission(createRequest(), held, 1_000), undefined);
    });

    it('ignores a deposed owner that goes on publishing', () => {
      const holder = new EvidenceHolder();
      const { evidence: current } = createHeld([], 5);
      const { evidence: deposed } = createHeld([createWait(60_000, true)], 4);
      assert.equal(holder.accept(current, 0), true);
      assert.equal(holder.accept(deposed, 100), false);
      assert.equal(decideAdmission(createRequest(), holder.held, 200), undefined);
    });
  });

  describe('with many callers refused at once', () => {
    const ids = Array.from({ length: 200 }, (_, number) => number.toString(16).padStart(16, '0'));
    const retries = ids.map((id) => {
      const held = createHeld([createWait(15_600)]);
      return decideAdmission(createRequest({ id }), held, 0)?.retryAfterS ?? 0;
    });

    it('sends none back before room is expected', () => {
      assert.ok(retries.every((retry) => retry >= 10));
    });

    it('spreads them over as much time again', () => {
      assert.ok(retries.every((retry) => retry <= 20));
      const most = Math.max(...retries.map((a) => retries.filter((b) => a === b).length));
      assert.ok(most < ids.length / 5, `${most} return in one second`);
    });
  });
});
