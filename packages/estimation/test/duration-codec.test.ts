import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  decodeDurations,
  DurationFaultKind,
  DurationModel,
  encodeDurations,
} from '@currantgap/estimation';
import { STEP_DEFAULTS } from '@currantgap/jobs';
import type { Step } from '@currantgap/model';
import fc from 'fast-check';

const ROUTE = 'checks';

function createStep(image: string): Step {
  const request = { cpuMillis: 1_000, memoryMb: 100, gpus: 0 };
  return { ...STEP_DEFAULTS, count: 1, request, estimatedMs: 1_000, image };
}

describe('the row of a route', () => {
  it('restores what was learned, in at most 4 kB', () => {
    const model = new DurationModel();
    for (let run = 0; run < 2_000; run += 1) {
      model.record(ROUTE, createStep(`image-${run % 40}`), 500 + ((run * 7_919) % 5_000));
    }
    const value = encodeDurations(model.listKinds(ROUTE) ?? []);
    assert.ok(value.length <= 4_000, `${value.length} characters`);
    const successor = new DurationModel();
    successor.load(ROUTE, decodeDurations(value)._unsafeUnwrap());
    const [before, after] = [model, successor].map((owner) =>
      owner.estimateTaskMs(ROUTE, createStep('any')),
    );
    assert.ok(before !== undefined && after !== undefined);
    assert.ok(Math.abs(after / before - 1) < 0.05, `${after} instead of ${before}`);
    assert.equal(successor.measureChange(ROUTE), 0);
  });

  it('is a fault if a later release wrote it', () => {
    const result = decodeDurations('{"version":2,"anything":true}');
    assert.equal(result._unsafeUnwrapErr().kind, DurationFaultKind.LaterVersion);
  });

  describe('when it is corrupt', () => {
    const path = fc.array(fc.string(), { maxLength: 4 });
    const kind = fc.oneof(
      fc.jsonValue(),
      fc.tuple(path, fc.integer(), fc.array(fc.oneof(fc.nat(2_000), fc.double()))),
    );
    const rows = fc.oneof(
      fc.string(),
      fc.json(),
      fc
        .record({ version: fc.constantFrom(0, 1, 2, '1', null), kinds: fc.array(kind) })
        .map((row) => JSON.stringify(row)),
    );

    it('gives a fault, or kinds whose estimates are positive and finite', () => {
      fc.assert(
        fc.property(rows, (value) => {
          const result = decodeDurations(value);
          if (result.isErr()) return;
          const model = new DurationModel();
          model.load(ROUTE, result.value);
          model.record(ROUTE, createStep('a'), 900);
          for (const estimate of [
            model.estimateTaskMs(ROUTE, createStep('a')),
            model.estimateQuantileMs(ROUTE, createStep('a'), 0.95),
            model.estimateRemainingMs(ROUTE, createStep('a'), 700),
          ]) {
            assert.ok(estimate > 0 && Number.isFinite(estimate), `${estimate}`);
          }
        }),
        { numRuns: 2_000 },
      );
    });
  });
});
