import {
  computeBringUpMs,
  computeNeededVms,
  computeStandbyVms,
  RecentPeak,
  type PoolDemand,
} from '@currantgap/fleet';
import type { Resources } from '@currantgap/model';
import type { ArrivalLoad } from '@currantgap/scheduling';
import type { OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';
import type { PoolBacklog } from './pool-backlog.ts';
import type { PoolLoad } from './pool-load.ts';

/** Share of the waiting work that is added to the load computed from the arrival rate. */
const BACKLOG_SHARE = 0.5;
/** Share of waiting tasks that count if moved VMs come too late for their objective. */
const LATE_SHARE = 0.25;
/** Times the bring-up time for which a pool keeps VMs that it needed. */
const KEEP_FACTOR = 1.5;
/** Relative change of a pool's wanted size that is logged. */
const LOGGED_CHANGE = 0.25;
/** Change of a pool's wanted size that is too small to be logged, in VMs. */
const LOGGED_CHANGE_VMS = 4;

/** What is known about a pool in one sweep. */
export interface PoolInputs {
  readonly load: PoolLoad | undefined;
  readonly backlog: PoolBacklog | undefined;
  /** VMs in the pool, or moving to it. */
  readonly heldVms: number;
  /** Those of them that run persistent tasks. */
  readonly hostingVms: number;
  /** Capacity of one VM; undefined if the pool holds none. */
  readonly vmCapacity: Resources | undefined;
}

/** Estimates the VMs that one pool needs now, holds ready for a rise, and should not give back yet. */
export class PoolDemandEstimator {
  readonly #context: OwnerContext;
  readonly #service: string;
  readonly #bringUpMs: number;
  readonly #peak: RecentPeak;
  /** VMs of the pool when it was first seen, as operators or an earlier owner left it. */
  readonly #givenVms: number;
  readonly #firstSeenAt: number;
  #loggedVms = 0;

  constructor(context: OwnerContext, service: string, givenVms: number) {
    this.#context = context;
    this.#service = service;
    this.#givenVms = givenVms;
    this.#firstSeenAt = context.clock.now;
    this.#bringUpMs = computeBringUpMs(context.bounds.moveMs);
    this.#peak = new RecentPeak(KEEP_FACTOR * this.#bringUpMs);
  }

  /** Estimates the demand. */
  estimate(inputs: PoolInputs): PoolDemand {
    const { active, arrivals, clock } = this.#context;
    const service = this.#service;
    const { heldVms, hostingVms, vmCapacity } = inputs;
    const persistentVms = Math.max(hostingVms, computeRequiredVms(active.values(), service));
    const history = arrivals.find(service);
    history?.observe(clock.now);
    const height = history?.computeHeight(clock.now);
    const heightVms = vmCapacity && height ? countVms(height, vmCapacity) : 0;
    const persistent = inputs.load?.persistent;
    const standbyVms = computeStandbyVms({
      slackMs: history?.slackMs,
      bringUpMs: this.#bringUpMs,
      heightVms,
      persistentLoadVms: vmCapacity && persistent ? countVms(persistent, vmCapacity) : 0,
      givenVms: this.#givenVms,
      ageMs: clock.now - this.#firstSeenAt,
    });
    const demandVms = this.#computeDemandVms(inputs);
    const neededVms = computeNeededVms({ demandVms });
    const keptVms = Math.min(heldVms, this.#peak.record(clock.now, neededVms));
    this.#writeChange({
      neededVms,
      standbyVms: Math.ceil(standbyVms),
      keptVms,
      persistentVms,
      heldVms,
      heightVms: Math.round(heightVms),
      slackMs: Math.round(history?.slackMs ?? -1),
    });
    return { service, persistentVms, demandVms, standbyVms: 0, keptVms };
  }

  #computeDemandVms({ load, backlog, vmCapacity }: PoolInputs): number {
    if (vmCapacity === undefined) return 0;
    const { arrivals, clock } = this.#context;
    const history = arrivals.find(this.#service);
    const expected = history?.computeExpectedLoad(clock.now, this.#bringUpMs);
    const getAmount = (get: (resources: ArrivalLoad) => number): number => {
      const patient = backlog === undefined ? 0 : get(backlog.patient);
      const late = backlog === undefined ? 0 : get(backlog.late);
      const present = (load === undefined ? 0 : get(load.used)) + patient + LATE_SHARE * late;
      const persistent = load === undefined ? 0 : get(load.persistent);
      const arriving = expected === undefined ? 0 : get(expected);
      return Math.max(present, persistent + arriving + BACKLOG_SHARE * patient + LATE_SHARE * late);
    };
    const cpuMillis = getAmount((resources) => resources.cpuMillis);
    const memoryMb = getAmount((resources) => resources.memoryMb);
    return countVms({ cpuMillis, memoryMb }, vmCapacity);
  }

  #writeChange(fields: Readonly<Record<string, number>> & { readonly neededVms: number }): void {
    const wantedVms = Math.max(fields.neededVms, fields.standbyVms ?? 0, fields.keptVms ?? 0);
    const changeVms = Math.abs(wantedVms - this.#loggedVms);
    if (changeVms < Math.max(LOGGED_CHANGE_VMS, LOGGED_CHANGE * this.#loggedVms)) return;
    this.#loggedVms = wantedVms;
    const { logger } = this.#context;
    logger.writeInfo('pool demand changed', { service: this.#service, wantedVms, ...fields });
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
