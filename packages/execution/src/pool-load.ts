import type { Resources } from '@currantgap/model';
import { getFootprint, ResourceSum } from '@currantgap/scheduling';
import { getWallNow, type OwnerContext } from './context.ts';

/** Milliseconds between log entries with the load of each pool. */
const REPORT_PERIOD_MS = 2_000;

/** Capacity of a pool, the resources reserved of it, and those that waiting tasks request. */
export interface PoolLoad {
  readonly service: string;
  targets: number;
  readonly capacity: ResourceSum;
  readonly used: ResourceSum;
  /** Part of `used` that belongs to persistent tasks. */
  readonly persistent: ResourceSum;
  readonly waiting: ResourceSum;
  waitingTasks: number;
}

/** Computes the load of each pool, by service name. */
export function computePoolLoads(context: OwnerContext): Map<string, PoolLoad> {
  const loads = new Map<string, PoolLoad>();
  const getLoad = (service: string): PoolLoad => {
    const existing = loads.get(service);
    if (existing !== undefined) return existing;
    const created = createLoad(service);
    loads.set(service, created);
    return created;
  };
  for (const target of context.fleet.targets) {
    if (!target.isRegistered) continue;
    const load = getLoad(target.entry.service);
    load.targets += 1;
    load.capacity.add(target.capacity);
    load.used.add(target.used);
    for (const { task } of target.assignments) {
      const step = task.step.definition;
      if (step.isPersistent) load.persistent.add(getFootprint(step));
    }
  }
  addWaiting(context, getLoad);
  return loads;
}

function addWaiting(context: OwnerContext, getLoad: (service: string) => PoolLoad): void {
  const wallNow = getWallNow();
  for (const { job, route } of context.active.values()) {
    if (route === undefined) continue;
    const load = getLoad(route.service);
    for (const step of job.listWaitingSteps(wallNow)) {
      load.waiting.add(getFootprint(step.definition), step.waitingCount);
      load.waitingTasks += step.waitingCount;
    }
  }
}

/** Logs the load of each pool periodically. */
export class LoadReporter {
  readonly #context: OwnerContext;
  #reportedAt = 0;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Logs one entry for each pool if a report is due. */
  sweep(): void {
    const { now } = this.#context.clock;
    if (now < this.#reportedAt + REPORT_PERIOD_MS) return;
    this.#reportedAt = now;
    reportLoad(this.#context);
  }
}

function reportLoad(context: OwnerContext): void {
  for (const load of computePoolLoads(context).values()) {
    context.logger.writeInfo('pool load', {
      service: load.service,
      targets: load.targets,
      capacity: formatResources(load.capacity),
      used: formatResources(load.used),
      persistent: formatResources(load.persistent),
      waiting: formatResources(load.waiting),
      waitingTasks: load.waitingTasks,
    });
  }
}

function formatResources({ cpuMillis, memoryMb }: Resources): string {
  return `${Math.round(cpuMillis / 1_000)} cores, ${Math.round(memoryMb / 1_024)} GB`;
}

function createLoad(service: string): PoolLoad {
  return {
    service,
    targets: 0,
    capacity: new ResourceSum(),
    used: new ResourceSum(),
    persistent: new ResourceSum(),
    waiting: new ResourceSum(),
    waitingTasks: 0,
  };
}
