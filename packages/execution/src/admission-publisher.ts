import {
  computeLongestWaitMs,
  computePoolWaits,
  ContentionTracker,
  GrowthMeter,
  PUBLISH_PERIOD_MS,
  type AdmissionEvidence,
  type PoolEvidence,
  type PoolState,
  type TeamLoad,
} from '@currantgap/admission';
import type { Resources, Route } from '@currantgap/model';
import { ResourceSum } from '@currantgap/scheduling';
import { computeDominantShare } from '@currantgap/sharing';
import type { OwnerContext } from './context.ts';
import { computePoolSupply, getSum, type PlacedVm, type PoolSupply } from './pool-supply.ts';
import { computeTeamLoads } from './team-loads.ts';

/** Load of a pool for its gauges. */
export interface PoolGauges {
  readonly service: string;
  /** Cores that waiting tasks request. */
  readonly waitingCores: number;
  /** Longest time until new work of any team could start, in milliseconds. */
  readonly waitMs: number;
}

/** Takes the owner's evidence about contention to the nodes. */
export abstract class AdmissionPort {
  /** Sends evidence to all nodes. */
  abstract publish(evidence: AdmissionEvidence): void;
  /** Receives the load of each pool; empty at the end of the term. */
  abstract observe(pools: readonly PoolGauges[]): void;
}

/** Publishes how long new work waits, while a pool is contended and once after that. */
export class AdmissionPublisher {
  readonly #context: OwnerContext;
  readonly #port: AdmissionPort | undefined;
  readonly #listVms: () => Iterable<PlacedVm> | undefined;
  readonly #tracker = new ContentionTracker();
  readonly #growth = new GrowthMeter();
  #nextAt = 0;

  constructor(
    context: OwnerContext,
    port: AdmissionPort | undefined,
    listVms: () => Iterable<PlacedVm> | undefined,
  ) {
    this.#context = context;
    this.#port = port;
    this.#listVms = listVms;
  }

  /** Computes the waits and publishes them, if this is due. */
  sweep(): void {
    const { now } = this.#context.clock;
    if (this.#port === undefined || now < this.#nextAt) return;
    this.#nextAt = now + PUBLISH_PERIOD_MS;
    const routes = this.#context.getOperatorView().configuration?.routes ?? [];
    const supply = computePoolSupply(this.#context, this.#listVms());
    const states = buildPoolStates(this.#context, supply);
    const waits = states.map((state) => this.#growth.apply(computePoolWaits(state)));
    this.#port.observe(waits.map((evidence, index) => buildGauges(evidence, states[index])));
    this.#publish(this.#port, supply, waits, routes);
  }

  #publish(
    port: AdmissionPort,
    { largestTask }: PoolSupply,
    waits: readonly PoolEvidence[],
    routes: readonly Route[],
  ): void {
    const { logger, term } = this.#context;
    const change = this.#tracker.update(
      waits.map((evidence) => ({
        evidence,
        tolerableWaitMs: computeTolerableWaitMs(evidence.service, routes),
      })),
    );
    if (change === undefined) return;
    for (const service of change.begun) {
      const evidence = waits.find((entry) => entry.service === service);
      const waitMs = evidence === undefined ? 0 : Math.round(computeLongestWaitMs(evidence));
      logger.writeInfo('pool contended', { service, waitMs });
    }
    for (const service of change.ended) logger.writeInfo('pool contended no longer', { service });
    const { now } = this.#context.clock;
    port.publish({ epoch: term.epoch, largestTask, pools: change.pools, computedAt: now });
  }
}

/** Computes the wait that every caller of a pool can bear, in milliseconds. */
function computeTolerableWaitMs(service: string, routes: readonly Route[]): number {
  const objectives = routes
    .filter((route) => route.service === service)
    .map(({ latencyObjectiveMs }) => latencyObjectiveMs);
  return Math.min(...objectives);
}

function buildPoolStates(context: OwnerContext, supply: PoolSupply): PoolState[] {
  const loads = computeTeamLoads(context, PUBLISH_PERIOD_MS);
  const capacities = new Map<string, ResourceSum>();
  for (const target of context.fleet.targets) {
    if (target.isRegistered) getSum(capacities, target.entry.service).add(target.capacity);
  }
  const missing = new Map<string, ResourceSum>();
  for (const [service, capacity] of capacities) {
    missing.set(service, computeMissing(capacity, loads.get(service) ?? []));
  }
  const recruitable = computeRecruitable(supply, missing);
  const excesses = new Map(
    [...missing].map(([service, amount]) => [service, computeDominantShare(recruitable, amount)]),
  );
  const totalExcess = [...excesses.values()].reduce((sum, excess) => sum + excess, 0);
  return [...capacities].map(([service, capacity]) => {
    const part = totalExcess > 0 ? (excesses.get(service) ?? 0) / totalExcess : 0;
    const extra = new ResourceSum();
    extra.add({
      cpuMillis: part * recruitable.cpuMillis,
      memoryMb: part * recruitable.memoryMb,
      gpus: part * recruitable.gpus,
    });
    extra.add(supply.incoming.get(service) ?? new ResourceSum());
    return {
      service,
      capacity,
      extra,
      extraAfterMs: context.bounds.moveMs ?? 0,
      teams: loads.get(service) ?? [],
    };
  });
}

/** Computes what running and waiting work requests beyond the capacity of its pool. */
function computeMissing(capacity: Resources, teams: readonly TeamLoad[]): ResourceSum {
  const missing = new ResourceSum();
  for (const { held, waiting } of teams) {
    missing.add(held);
    missing.add(waiting);
  }
  missing.remove(capacity);
  missing.cpuMillis = Math.max(0, missing.cpuMillis);
  missing.memoryMb = Math.max(0, missing.memoryMb);
  missing.gpus = Math.max(0, missing.gpus);
  return missing;
}

/** Computes the capacity that can leave the pools without missing capacity, or be switched on. */
function computeRecruitable(
  supply: PoolSupply,
  missing: ReadonlyMap<string, Resources>,
): ResourceSum {
  const recruitable = new ResourceSum();
  recruitable.add(supply.spare);
  for (const [service, amount] of supply.unused) {
    const lack = missing.get(service);
    if (lack === undefined || lack.cpuMillis + lack.memoryMb + lack.gpus > 0) continue;
    recruitable.add(amount);
  }
  return recruitable;
}

function buildGauges(evidence: PoolEvidence, state: PoolState | undefined): PoolGauges {
  const waitingMillis = (state?.teams ?? []).reduce(
    (sum, { waiting }) => sum + waiting.cpuMillis,
    0,
  );
  return {
    service: evidence.service,
    waitingCores: waitingMillis / 1_000,
    waitMs: computeLongestWaitMs(evidence),
  };
}
