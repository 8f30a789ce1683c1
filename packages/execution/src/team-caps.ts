import type { StepRun } from '@currantgap/jobs';
import type { Resources } from '@currantgap/model';
import { isWithinCap } from '@currantgap/scheduling';
import type { OwnerContext } from './context.ts';
import { computeUnreportedRuns } from './unreported-runs.ts';

/** Milliseconds between computations of what targets without a report may run. */
const UNREPORTED_PERIOD_MS = 100;

/** Compares what teams run, and may run on targets without a report, with their caps. */
export class TeamCaps {
  readonly #context: OwnerContext;
  /** Resources that runs on targets without a report may use, by team. */
  #unreported: ReadonlyMap<string, Resources> = new Map();
  /** Monotonic time from which `#unreported` is computed again, in milliseconds. */
  #unreportedExpiresAt = 0;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Computes anew, once in a while, what may run unreported: it only shrinks during a term. */
  refresh(): void {
    const { now } = this.#context.clock;
    if (now < this.#unreportedExpiresAt) return;
    this.#unreportedExpiresAt = now + UNREPORTED_PERIOD_MS;
    this.#unreported = computeUnreportedRuns(this.#context);
  }

  /** Whether the team of a step may run more tasks that request these resources. */
  isWithin(step: StepRun, request: Resources): boolean {
    const { fleet, getOperatorView } = this.#context;
    const { team } = step.job.stored;
    const cap = getOperatorView().configuration?.teams.find(({ name }) => name === team)?.cap;
    if (cap === undefined) return true;
    const unreported = this.#unreported.get(team);
    const added = unreported === undefined ? request : addResources(request, unreported);
    return isWithinCap(cap, fleet.getRunning(team), added);
  }
}

function addResources(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMb: left.memoryMb + right.memoryMb,
    gpus: left.gpus + right.gpus,
  };
}
