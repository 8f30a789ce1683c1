import { ArrivalMeter, type ArrivalLoad } from '@currantgap/scheduling';
import { canWait } from './standby.ts';

/** Weight of a new submission in the moving average of the slack. */
const SLACK_SMOOTHING_FACTOR = 0.05;
/** Submissions after which the mean slack counts as known. */
const KNOWN_SLACK_SUBMISSIONS = 2;
/** Time after which a height that was not reached again counts half, in milliseconds. */
const HEIGHT_HALF_LIFE_MS = 120_000;
/** Factor by which a load that is still rising is expected to grow, up to the height seen before. */
const RISE_FACTOR = 1.5;
/** Ratio of the current load to the mean one above which the load counts as rising. */
const RISING_RATIO = 1.15;

/** A submission, as the demand of its pool counts it. */
export interface Submission {
  /** Milliseconds on a monotonic clock. */
  readonly at: number;
  /** Thousandths of a core times milliseconds. */
  readonly cpuWork: number;
  /** Megabytes times milliseconds. */
  readonly memoryWork: number;
  /** Time for which its tasks may wait in all, so that it still meets its objective. */
  readonly slackMs: number;
}

const NO_LOAD: ArrivalLoad = { cpuMillis: 0, memoryMb: 0 };

/** What one pool has been asked for: the current load, its height and what the callers can wait. */
export class DemandHistory {
  readonly #meter = new ArrivalMeter();
  #submissionCount = 0;
  #meanSlackMs = 0;
  #height = NO_LOAD;
  #heightAt = 0;

  /** Mean slack of the submissions; undefined while too few have been seen. */
  get slackMs(): number | undefined {
    return this.#submissionCount < KNOWN_SLACK_SUBMISSIONS ? undefined : this.#meanSlackMs;
  }

  /** Records a submission. */
  record(submission: Submission): void {
    this.#meter.record(submission);
    this.#submissionCount += 1;
    const factor = Math.max(SLACK_SMOOTHING_FACTOR, 1 / this.#submissionCount);
    this.#meanSlackMs += factor * (submission.slackMs - this.#meanSlackMs);
  }

  /** Updates the height with the current load. */
  observe(now: number): void {
    const { cpuMillis, memoryMb } = this.#meter.computeMeanLoad(now);
    const height = this.computeHeight(now);
    if (cpuMillis < height.cpuMillis && memoryMb < height.memoryMb) return;
    this.#height = {
      cpuMillis: Math.max(cpuMillis, height.cpuMillis),
      memoryMb: Math.max(memoryMb, height.memoryMb),
    };
    this.#heightAt = now;
  }

  /** Computes the highest load seen; it fades while it is not reached again. */
  computeHeight(now: number): ArrivalLoad {
    const share = 0.5 ** ((now - this.#heightAt) / HEIGHT_HALF_LIFE_MS);
    return computeShare(this.#height, share);
  }

  /**
   * Computes the load for which VMs are needed now. Where callers cannot wait for VMs that take
   * `bringUpMs`, it follows the first sign of a rise, else the steadier estimate. While the load
   * rises, it is ahead of the arrivals by as much as the height seen before allows.
   */
  computeExpectedLoad(now: number, bringUpMs: number): ArrivalLoad {
    const isPatient = this.slackMs !== undefined && canWait(this.slackMs, bringUpMs);
    const load = isPatient ? this.#meter.computeSteadyLoad(now) : this.#meter.computeLoad(now);
    const mean = this.#meter.computeMeanLoad(now);
    if (load.cpuMillis < RISING_RATIO * mean.cpuMillis) return load;
    const height = this.computeHeight(now);
    return {
      cpuMillis: computeRise(load.cpuMillis, height.cpuMillis),
      memoryMb: computeRise(load.memoryMb, height.memoryMb),
    };
  }
}

function computeRise(load: number, height: number): number {
  return Math.max(load, Math.min(RISE_FACTOR * load, height));
}

function computeShare({ cpuMillis, memoryMb }: ArrivalLoad, share: number): ArrivalLoad {
  return { cpuMillis: cpuMillis * share, memoryMb: memoryMb * share };
}
