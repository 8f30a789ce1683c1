import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decodeDurations, encodeDurations } from '../src/duration-codec.ts';
import { DurationModel } from '@currantgap/estimation';
import { STEP_DEFAULTS } from '@currantgap/jobs';
import type { Step } from '@currantgap/model';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const ROUTE = 'checks';

/** Draws durations from a seed. */
class Draw {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  uniform(): number {
    return ((this.#generator.next() >>> 0) + 0.5) / 2 ** 32;
  }

  /** Draws a lognormal factor with the median 1. */
  lognormal(spread: number): number {
    const radius = Math.sqrt(-2 * Math.log(this.uniform()));
    return Math.exp(spread * radius * Math.cos(2 * Math.PI * this.uniform()));
  }

  /** Draws a factor that is 7 times the usual for 3 in 100 tasks. */
  heavy(spread: number): number {
    return this.lognormal(spread) * (this.uniform() < 0.03 ? 7 : 1);
  }
}

/** Creates the step of a new submission. */
function createStep(changes: Partial<Step> = {}): Step {
  const request = { cpuMillis: 1_000, memoryMb: 100, gpus: 0 };
  return { ...STEP_DEFAULTS, count: 1, request, estimatedMs: 1_000, ...changes };
}

/** Records runs of different submissions. */
function learn(model: DurationModel, runs: number, draw: () => number, step = {}): void {
  for (let run = 0; run < runs; run += 1) model.record(ROUTE, createStep(step), draw());
}

function assertWithin(value: number, low: number, high: number): void {
  assert.ok(value >= low && value <= high, `${value} is not within ${low} and ${high}`);
}

describe('DurationModel', () => {
  describe('with biased estimates', () => {
    it('learns a ratio of 2 within 50 runs, and nothing about other routes', () => {
      const model = new DurationModel();
      learn(model, 50, () => 2_000);
      assertWithin(model.estimateTaskMs(ROUTE, createStep()), 1_950, 2_050);
      assert.equal(model.estimateTaskMs('other', createStep()), 1_000);
    });

    it('tells images of one route apart, and those with an estimate from those without', () => {
      const model = new DurationModel();
      learn(model, 40, () => 3_000, { image: 'slow' });
      learn(model, 40, () => 500, { image: 'fast' });
      learn(model, 40, () => 8_000, { estimatedMs: 0 });
      assertWithin(model.estimateTaskMs(ROUTE, createStep({ image: 'slow' })), 2_600, 3_100);
      assertWithin(model.estimateTaskMs(ROUTE, createStep({ image: 'fast' })), 480, 650);
      assertWithin(model.estimateTaskMs(ROUTE, createStep({ estimatedMs: 0 })), 7_000, 8_100);
    });

    it('learns that large estimates exaggerate and small ones understate', () => {
      const model = new DurationModel();
      learn(model, 40, () => 2_000, { estimatedMs: 4_000 });
      learn(model, 40, () => 1_000, { estimatedMs: 500 });
      assertWithin(model.estimateTaskMs(ROUTE, createStep({ estimatedMs: 4_000 })), 1_900, 2_400);
      assertWithin(model.estimateTaskMs(ROUTE, createStep({ estimatedMs: 500 })), 850, 1_050);
    });

    it('takes the first ended tasks of a step as a sign for its other tasks', () => {
      const model = new DurationModel();
      const draw = new Draw(3);
      learn(model, 100, () => 1_000 * draw.lognormal(0.4));
      const step = createStep({ count: 8 });
      for (let task = 0; task < 4; task += 1) model.record(ROUTE, step, 2_500);
      const other = model.estimateTaskMs(ROUTE, createStep({ count: 8 }));
      assert.ok(model.estimateTaskMs(ROUTE, step) > 1.15 * other);
    });
  });

  describe('with a wide spread', () => {
    it('estimates mean and quantiles of the spread', () => {
      for (const seed of [1, 2, 3, 4]) {
        const model = new DurationModel();
        const draw = new Draw(seed);
        learn(model, 400, () => 1_000 * draw.lognormal(0.5));
        const step = createStep();
        assertWithin(model.estimateTaskMs(ROUTE, step), 850, 1_400);
        assertWithin(model.estimateQuantileMs(ROUTE, step, 0.5), 800, 1_250);
        assertWithin(model.estimateQuantileMs(ROUTE, step, 0.95), 1_600, 3_400);
      }
    });
  });

  describe('with a heavy tail', () => {
    it('is not dragged by it in the mean, and keeps the quantile at 0.95 in the body', () => {
      for (const seed of [1, 2, 3, 4, 5, 6]) {
        const model = new DurationModel();
        const draw = new Draw(seed);
        learn(model, 300, () => 1_000 * draw.heavy(0.3));
        const step = createStep();
        assertWithin(model.estimateTaskMs(ROUTE, step), 850, 1_250);
        assertWithin(model.estimateQuantileMs(ROUTE, step, 0.95), 1_300, 3_000);
      }
    });

    it('expects a run far beyond the body to be in the tail', () => {
      const model = new DurationModel();
      const draw = new Draw(7);
      learn(model, 300, () => 1_000 * draw.heavy(0.3));
      const step = createStep();
      const first = model.estimateRemainingMs(ROUTE, step, 0);
      assert.equal(first, model.estimateTaskMs(ROUTE, step));
      assertWithin(model.estimateRemainingMs(ROUTE, step, 3_000), 1_000, 6_000);
      for (const elapsedMs of [500, 1_000, 2_000, 10_000, 1_000_000]) {
        assert.ok(model.estimateRemainingMs(ROUTE, step, elapsedMs) > 0);
      }
    });
  });

  describe('with a kind that changes', () => {
    it('learns the new durations within 60 runs, in either direction', () => {
      const model = new DurationModel();
      learn(model, 500, () => 1_000);
      learn(model, 60, () => 4_000);
      assertWithin(model.estimateTaskMs(ROUTE, createStep()), 3_000, 4_100);
      learn(model, 60, () => 1_000);
      assertWithin(model.estimateTaskMs(ROUTE, createStep()), 950, 1_600);
    });
  });

  describe('with few observations', () => {
    it('stays near the estimate after one run and near the runs after ten', () => {
      const model = new DurationModel();
      learn(model, 1, () => 4_000);
      assertWithin(model.estimateTaskMs(ROUTE, createStep()), 1_050, 2_600);
      learn(model, 9, () => 4_000);
      assertWithin(model.estimateTaskMs(ROUTE, createStep()), 3_000, 4_100);
    });

    it('falls back on the route for an image and a size that it has not seen', () => {
      const model = new DurationModel();
      learn(model, 60, () => 2_000, { image: 'known' });
      const step = createStep({ image: 'new', estimatedMs: 3_000 });
      assertWithin(model.estimateTaskMs(ROUTE, step), 5_500, 6_200);
    });
  });

  describe('with stopped runs', () => {
    it('learns from runs stopped beyond the expectation that tasks take longer', () => {
      const model = new DurationModel();
      learn(model, 30, () => 1_000);
      for (let run = 0; run < 30; run += 1) model.recordCensored(ROUTE, createStep(), 3_000);
      assert.ok(model.estimateTaskMs(ROUTE, createStep()) > 2_000);
    });

    it('learns nothing from runs stopped at their beginning', () => {
      const model = new DurationModel();
      learn(model, 30, () => 1_000);
      const before = model.estimateTaskMs(ROUTE, createStep());
      for (let run = 0; run < 300; run += 1) model.recordCensored(ROUTE, createStep(), 20);
      assert.equal(model.estimateTaskMs(ROUTE, createStep()), before);
    });

    it('replaces the bound of a run by its duration, so that long runs count once', () => {
      const [bounded, plain] = [new DurationModel(), new DurationModel()];
      const draws = [new Draw(11), new Draw(11)] as const;
      for (let run = 0; run < 200; run += 1) {
        const step = createStep();
        const durationMs = 1_000 * draws[0].lognormal(0.5);
        const replaces =
          durationMs > 1_500 ? bounded.recordCensored(ROUTE, step, 1_500) : undefined;
        bounded.record(ROUTE, step, durationMs, { replaces });
        plain.record(ROUTE, createStep(), 1_000 * draws[1].lognormal(0.5));
      }
      const expected = plain.estimateTaskMs(ROUTE, createStep());
      assertWithin(bounded.estimateTaskMs(ROUTE, createStep()), 0.92 * expected, 1.08 * expected);
    });
  });

  describe('with many kinds', () => {
    it('learns 30 images in turn of each of 34 routes in turn, and keeps them in one row', () => {
      const model = new DurationModel();
      for (let round = 0; round < 20; round += 1) {
        for (let route = 0; route < 34; route += 1) {
          for (let image = 0; image < 30; image += 1) {
            const step = createStep({ image: `image-${image}` });
            model.record(`route-${route}`, step, image % 2 === 0 ? 4_000 : 500);
          }
        }
      }
      const successor = new DurationModel();
      const row = encodeDurations(model.listKinds('route-33') ?? []);
      successor.load('route-33', decodeDurations(row)._unsafeUnwrap());
      for (const known of [model, successor]) {
        for (let image = 0; image < 30; image += 1) {
          const step = createStep({ image: `image-${image}` });
          const [low, high] = image % 2 === 0 ? [3_000, 4_100] : [480, 800];
          assertWithin(known.estimateTaskMs('route-33', step), low, high);
        }
      }
    });

    it('keeps those of which most is known, in a row that the store takes', () => {
      const model = new DurationModel();
      learn(model, 40, () => 4_000, { image: 'usual' });
      for (let image = 0; image < 200; image += 1) {
        const name = String.fromCharCode(1 + (image % 20), 1 + Math.floor(image / 20)).repeat(32);
        learn(model, 8, () => 100 + 130 * image, { image: name });
        learn(model, 1, () => 4_000, { image: `rare-${image}` });
      }
      const kinds = model.listKinds(ROUTE) ?? [];
      assert.equal(kinds.length, 64);
      assert.ok(kinds.some(({ path }) => path[1] === 'usual'));
      assert.ok(Buffer.byteLength(encodeDurations(kinds)) < 65_536);
    });

    it('keeps none of what is only asked for', () => {
      const model = new DurationModel();
      for (let index = 0; index < 1_000; index += 1) {
        model.estimateTaskMs(`route-${index}`, createStep({ count: 8, image: `${index}` }));
      }
      assert.deepEqual([...model.routes], []);
    });

    it('lets the runs of a step teach others after its route was dropped', () => {
      const model = new DurationModel();
      const step = createStep({ count: 40 });
      model.record(ROUTE, step, 4_000);
      for (let route = 0; route < 256; route += 1) {
        for (let run = 0; run < 2; run += 1) model.record(`${route}`, createStep(), 1_000);
      }
      assert.equal(model.listKinds(ROUTE), undefined);
      for (let run = 0; run < 39; run += 1) model.record(ROUTE, step, 4_000);
      assert.ok(model.estimateTaskMs(ROUTE, createStep()) > 2_000);
    });
  });
});
