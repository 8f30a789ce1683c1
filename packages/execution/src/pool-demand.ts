import { computeNeededVms, RecentPeak, type PoolDemand } from '@currantgap/fleet';
import type { Resources } from '@currantgap/model';
import type { ArrivalLoad } from '@currantgap/scheduling';
import type { OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';
import type { PoolLoad } from './pool-load.ts';

/** Share of the waiting work that is added to the load computed from the arrival rate. */
const BACKLOG_SHARE = 0.5;
/** Times the duration of a move for which a pool keeps VMs that it needed. */
const KEEP_FACTOR = 2;
/** Relative change of a pool's wanted size that is logged. */
const LOGGED_CHANGE = 0.25;
/** Change of a pool's wanted size that is too small to be logged, in VMs. */
const LOGGED_CHANGE_VMS = 4;

/** What is known about a pool in one sweep. */
export interface PoolInputs {
  readonly load: PoolLoad | undefined;
  /** VMs in the pool, or moving to it. */
  readonly heldVms: number;
  /** Those of them that run persistent tasks. */
  readonly hostingVms: number;
  /** Capacity of one VM; undefined if the pool holds none. */
  readonly vmCapacity: Resources | undefined;
}

/** Estimates the VMs that one pool needs now, and those that it should not give back yet. */
export class PoolDemandEstimator {
  readonly #context: OwnerContext;
  readonly #service: string;
  readonly #peak: RecentPeak;
  /** VMs that operators gave the pool; 0 if an earlier owner has sized it. */
  readonly #givenVms: number;
  #loggedVms = 0;

  constructor(context: OwnerContext, service: string, heldVms: number) {
    const { bounds, clock, term } = context;
    this.#context = context;
    this.#service = service;
    this.#peak = new RecentPeak(KEEP_FACTOR * bounds.moveMs);
    this.#givenVms = term.predecessor === undefined ? heldVms : 0;
    // What an earlier owner needed is kept until this one has seen the demand.
    if (term.predecessor !== undefined) this.#peak.record(clock.now, heldVms);
  }

  /** Estimates the demand. */
  estimate(inputs: PoolInputs): PoolDemand {
    const { active, arrivals, clock } = this.#context;
    const service = this.#service;
    const { heldVms, hostingVms } = inputs;
    const persistentVms = Math.max(hostingVms, computeRequiredVms(active.values(), service));
    arrivals.find(service)?.observe(clock.now);
    const demandVms = this.#computeDemandVms(inputs);
    const neededVms = computeNeededVms({ demandVms });
    const keptVms = Math.min(heldVms, this.#peak.record(clock.now, neededVms));
    this.#writeChange(inputs, { neededVms, keptVms, persistentVms });
    return { service, persistentVms, demandVms, keptVms };
  }

  #computeDemandVms({ load, vmCapacity }: PoolInputs): number {
    if (load === undefined || vmCapacity === undefined) return 0;
    const { arrivals, clock } = this.#context;
    const arriving = arrivals.find(this.#service)?.computeExpectedLoad(clock.now, {
      cpuMillis: this.#givenVms * vmCapacity.cpuMillis,
      memoryMb: this.#givenVms * vmCapacity.memoryMb,
    });
    const { persistent, used, waiting } = load;
    const compute = (get: (load: ArrivalLoad) => number): number => {
      const expected = arriving === undefined ? 0 : get(arriving);
      return Math.max(
        get(used) + get(waiting),
        get(persistent) + expected + BACKLOG_SHARE * get(waiting),
      );
    };
    const cpuMillis = compute((resources) => resources.cpuMillis);
    const memoryMb = compute((resources) => resources.memoryMb);
    return countVms({ cpuMillis, memoryMb }, vmCapacity);
  }

  #writeChange(
    { heldVms, vmCapacity }: PoolInputs,
    sizes: { neededVms: number; keptVms: number; persistentVms: number },
  ): void {
    const wantedVms = Math.max(sizes.neededVms, sizes.keptVms, sizes.persistentVms);
    const changeVms = Math.abs(wantedVms - this.#loggedVms);
    if (changeVms < Math.max(LOGGED_CHANGE_VMS, LOGGED_CHANGE * this.#loggedVms)) return;
    this.#loggedVms = wantedVms;
    const { arrivals, clock, logger } = this.#context;
    const height = arrivals.find(this.#service)?.computeHeight(clock.now);
    const heightVms = height && vmCapacity ? Math.round(countVms(height, vmCapacity)) : 0;
    const service = this.#service;
    logger.writeInfo('pool demand changed', { service, wantedVms, heldVms, ...sizes, heightVms });
  }
}

function countVms(load: ArrivalLoad, vmCapacity: Resources): number {
  return Math.max(load.cpuMillis / vmCapacity.cpuMillis, load.memoryMb / vmCapacity.memoryMb);
}

/** Computes how many VMs the persistent steps of a service need under their anti-affinity rules. */
function computeRequiredVms(records: Iterable<JobRecord>, service: string): number {
  let required = 0;
  for (const { job, route } of records) {
    if (route?.service !== service) continue;
    for (const { isPersistent, antiAffinity, count } of job.stored.submission.steps) {
      if (isPersistent) required = Math.max(required, antiAffinity > 0 ? count / antiAffinity : 1);
    }
  }
  return Math.ceil(required);
}
