import {
  computeRequiredAmount,
  computeStandingShare,
  decidePoolSizes,
  listNextPools,
  type PoolDemand,
} from '@currantgap/fleet';
import { TargetState, VmState, type Resources, type Vm } from '@currantgap/model';
import { ResourceSum } from '@currantgap/scheduling';
import type { OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';
import type { PoolLoad } from './pool-load.ts';
import type { VmController } from './vm-controller.ts';
import { VmOccupancy } from './vm-occupancy.ts';

/** Milliseconds for which a pool must have surplus VMs before one is switched off. */
const SURPLUS_MS = 1_000;
/** Milliseconds from the decision to move a VM to its order, and from its start to its first task. */
const BRING_UP_MARGIN_MS = 500;
/** Part of a pool's size at the begin of a term above which a load that lasted counts as its height. */
const MINIMUM_HEIGHT = 0.25;

/**
 * VMs that start to move to a pool that needs them, and that start to be switched off, in one sweep. Many
 * orders at once would stall the owner for a second, just when a pool needs VMs because its load rises.
 */
const MOVES_PER_SWEEP = 16;
const RELEASES_PER_SWEEP = 4;
/** Milliseconds between log entries with the size of each pool. */
const REPORT_PERIOD_MS = 2_000;
const MILLIS_PER_CORE = 1_000;

/** A VM that the pool sizer counts and may move. */
interface MovableVm {
  readonly vm: Vm;
  readonly tasks: number;
  readonly hasPersistent: boolean;
}

/** Moves VMs to the pools that need them and switches surplus VMs off in the spare pool. */
export class PoolSizer {
  readonly #context: OwnerContext;
  readonly #vmController: VmController;
  #hasSeenJobs = false;
  /** Whether a job that ends by itself has arrived in this term, so that pools show their demand. */
  #hasSeenDemand = false;
  readonly #surplusSince = new Map<string, number>();
  /** Time at which each pool was last loaded, on the owner's clock. */
  readonly #turnsEndedAt = new Map<string, number>();
  #reportedAt = -Infinity;
  /** Capacity of each pool when its VMs were first counted in this term. */
  readonly #initialCapacity = new Map<string, Resources>();

  constructor(context: OwnerContext, vmController: VmController) {
    this.#context = context;
    this.#vmController = vmController;
  }

  /**
   * Starts the moves that bring each pool to its computed size. Until the first work arrives that is
   * not persistent, pools keep what operators gave them: with VMs taken away on no evidence, the first
   * callers would wait until others are there.
   */
  sweep(getLoads: () => ReadonlyMap<string, PoolLoad>): void {
    const services = this.#context.getOperatorView().configuration?.services ?? [];
    const spare = services.find(({ isSpare }) => isSpare)?.name;
    // No VM is moved before the first job arrives, because VMs may still be starting until then.
    this.#hasSeenJobs ||= this.#context.active.size > 0;
    this.#hasSeenDemand ||= hasFiniteWork(this.#context.active.values());
    if (spare === undefined || !this.#vmController.isReady || !this.#hasSeenJobs) return;
    const loads = getLoads();
    const members = this.#groupVms();
    const pools = services.filter(({ isSpare }) => !isSpare).map(({ name }) => name);
    const total = [...members.values()].reduce((sum, vms) => sum + vms.length, 0);
    this.#recordTurns(pools);
    const next = listNextPools(this.#turnsEndedAt);
    const demands = pools.map((pool) =>
      this.#buildDemand(pool, loads.get(pool), {
        members: members.get(pool),
        isNext: next.has(pool),
      }),
    );
    const sizes = decidePoolSizes(demands, total);
    this.#reportSizes(demands, sizes, members, next);
    this.#move(pools, sizes, members, spare);
  }

  /** Groups available VMs by pool; a VM that is being moved belongs to its destination pool. */
  #groupVms(): Map<string, MovableVm[]> {
    const { fleet, getOperatorView } = this.#context;
    const { evacuated } = getOperatorView();
    const groups = new Map<string, MovableVm[]>();
    for (const vm of this.#vmController.vms) {
      if (vm.state === VmState.Down || evacuated.has(vm.dataCentre)) continue;
      const operation = this.#vmController.findOperation(vm.name);
      if (operation?.plan.kind === 'maintain') continue;
      const targets = fleet.listOnVm(vm.name);
      if (targets.some(({ entry }) => entry.state === TargetState.Draining)) continue;
      const pool = operation?.plan.kind === 'move' ? operation.plan.pool : vm.pool;
      const assignments = targets.flatMap((target) => [...target.assignments]);
      const member = {
        vm,
        tasks: assignments.length,
        hasPersistent: assignments.some(({ task }) => task.step.definition.isPersistent),
      };
      groups.set(pool, [...(groups.get(pool) ?? []), member]);
    }
    return groups;
  }

  #buildDemand(
    service: string,
    load: PoolLoad | undefined,
    { members = [], isNext }: { members: readonly MovableVm[] | undefined; isNext: boolean },
  ): PoolDemand {
    const { active, arrivals, bounds, clock } = this.#context;
    const hostingVms = members.filter(({ hasPersistent }) => hasPersistent).length;
    const persistentVms = Math.max(hostingVms, computeRequiredVms(active.values(), service));
    const vmCapacity = members[0]?.vm.capacity;
    if (load === undefined || vmCapacity === undefined)
      return { service, persistentVms, demandVms: 0 };
    const arriving = arrivals.computeLoad(service, clock.now);
    const height = this.#computeHeight(service, members);
    const times = {
      bringUpMs: (bounds.moveMs ?? 0) + BRING_UP_MARGIN_MS,
      slackMs: arrivals.getSlackMs(service) ?? this.#getLeastSlackMs(service),
    };
    const countVms = (resource: 'cpuMillis' | 'memoryMb'): number => {
      const persistent = load.persistent[resource];
      const capacity = load.capacity[resource];
      const required = computeRequiredAmount(
        {
          persistent,
          running: load.used[resource] - persistent,
          arriving: arriving[resource],
          waiting: load.waiting[resource],
          waitingWork: load.waitingWork[resource],
          runningWork: load.runningWork[resource],
          capacity,
          incoming: Math.max(0, members.length * vmCapacity[resource] - capacity),
        },
        times,
      );
      return required / vmCapacity[resource];
    };
    const standingShare = isNext ? computeStandingShare(times) : 0;
    const countStandingVms = (resource: 'cpuMillis' | 'memoryMb'): number =>
      (load.persistent[resource] + standingShare * height[resource]) / vmCapacity[resource];
    return {
      service,
      persistentVms,
      demandVms: Math.max(countVms('cpuMillis'), countVms('memoryMb')),
      standingVms: Math.max(countStandingVms('cpuMillis'), countStandingVms('memoryMb')),
    };
  }

  /** Logs the size of each pool and what it was computed from, if a report is due. */
  #reportSizes(
    demands: readonly PoolDemand[],
    sizes: ReadonlyMap<string, number>,
    members: ReadonlyMap<string, MovableVm[]>,
    next: ReadonlySet<string>,
  ): void {
    const { arrivals, clock, logger } = this.#context;
    if (clock.now < this.#reportedAt + REPORT_PERIOD_MS) return;
    this.#reportedAt = clock.now;
    for (const { service, persistentVms, demandVms, standingVms = 0 } of demands) {
      const arriving = arrivals.computeLoad(service, clock.now);
      logger.writeInfo('pool sized', {
        service,
        vms: members.get(service)?.length ?? 0,
        size: sizes.get(service) ?? 0,
        persistentVms,
        demandVms: Math.round(demandVms),
        standingVms: Math.round(standingVms),
        arrivingCores: Math.round(arriving.cpuMillis / MILLIS_PER_CORE),
        slackMs: Math.round(arrivals.getSlackMs(service) ?? this.#getLeastSlackMs(service)),
        isNext: next.has(service),
      });
    }
  }

  /** Records which pools are loaded now. */
  #recordTurns(pools: readonly string[]): void {
    const { arrivals, clock } = this.#context;
    for (const pool of pools) {
      const { cpuMillis, memoryMb } = arrivals.computeLoad(pool, clock.now);
      const initial = this.#initialCapacity.get(pool);
      const isLoaded =
        initial !== undefined &&
        (cpuMillis > MINIMUM_HEIGHT * initial.cpuMillis ||
          memoryMb > MINIMUM_HEIGHT * initial.memoryMb);
      const known = this.#turnsEndedAt.get(pool) ?? -Infinity;
      this.#turnsEndedAt.set(pool, isLoaded ? clock.now : known);
    }
  }

  /**
   * Computes the load that a pool has at its height: the highest that lasted in this term or, before
   * one was seen, what the pool could hold at the begin of the term.
   */
  #computeHeight(
    service: string,
    members: readonly MovableVm[],
  ): Pick<Resources, 'cpuMillis' | 'memoryMb'> {
    const initial = this.#initialCapacity.get(service) ?? computeCapacity(members);
    this.#initialCapacity.set(service, initial);
    const peak = this.#context.arrivals.computePeak(service);
    const isSeen =
      peak.cpuMillis > MINIMUM_HEIGHT * initial.cpuMillis ||
      peak.memoryMb > MINIMUM_HEIGHT * initial.memoryMb;
    if (!isSeen) return initial;
    return {
      cpuMillis: Math.min(peak.cpuMillis, initial.cpuMillis),
      memoryMb: Math.min(peak.memoryMb, initial.memoryMb),
    };
  }

  /** Gets the least time that the work of a service may wait, in milliseconds, before any has arrived. */
  #getLeastSlackMs(service: string): number {
    const routes = this.#context.getOperatorView().configuration?.routes ?? [];
    const slacks = routes
      .filter((route) => route.service === service)
      .map(({ latencyObjectiveMs }) => latencyObjectiveMs);
    return slacks.length > 0 ? Math.min(...slacks) : 0;
  }

  #move(
    pools: readonly string[],
    sizes: ReadonlyMap<string, number>,
    members: ReadonlyMap<string, MovableVm[]>,
    spare: string,
  ): void {
    const { now } = this.#context.clock;
    const donors: { pool: string; member: MovableVm }[] = [];
    const missing = new Map<string, number>();
    for (const pool of pools) {
      const vms = members.get(pool) ?? [];
      const difference = vms.length - (sizes.get(pool) ?? vms.length);
      const surplus = this.#hasSeenDemand ? difference : Math.min(0, difference);
      missing.set(pool, Math.max(0, -surplus));
      if (surplus <= 0) this.#surplusSince.delete(pool);
      else if (!this.#surplusSince.has(pool)) this.#surplusSince.set(pool, now);
      const movable = vms.filter((vm) => this.#isMovable(vm)).sort((a, b) => a.tasks - b.tasks);
      for (const member of movable.slice(0, Math.max(0, surplus))) donors.push({ pool, member });
    }
    donors.sort((left, right) => left.member.tasks - right.member.tasks);
    const spareVms = (members.get(spare) ?? []).filter((vm) => this.#isMovable(vm));
    for (const pool of listReceivers(missing, MOVES_PER_SWEEP)) {
      const donor = takeDonor(donors, spareVms);
      if (donor === undefined) return;
      this.#vmController.startPlan(donor.vm.name, { kind: 'move', pool });
    }
    if (this.#context.sweepDelay.isBusy(now)) return;
    const released = donors.filter(
      ({ pool, member }) =>
        member.tasks === 0 && now >= (this.#surplusSince.get(pool) ?? now) + SURPLUS_MS,
    );
    for (const { member } of released.slice(0, RELEASES_PER_SWEEP)) {
      this.#vmController.startPlan(member.vm.name, { kind: 'move', pool: spare });
    }
  }

  #isMovable(member: MovableVm): boolean {
    const { name, state } = member.vm;
    if (member.hasPersistent || this.#vmController.findOperation(name) !== undefined) return false;
    if (state !== VmState.Up || !this.#vmController.canOrder(name)) return false;
    return this.#vmController.findOccupancy(member.vm) !== VmOccupancy.Unknown;
  }
}

/** Lists the pools that the next VMs go to, in turn; each at most as often as VMs are missing there. */
function listReceivers(missing: ReadonlyMap<string, number>, maximum: number): string[] {
  const receivers: string[] = [];
  const left = new Map(missing);
  while (receivers.length < maximum) {
    const short = [...left].filter(([, count]) => count > 0);
    if (short.length === 0) break;
    for (const [pool, count] of short) {
      receivers.push(pool);
      left.set(pool, count - 1);
    }
  }
  return receivers.slice(0, maximum);
}

/**
 * Takes an idle VM of another pool, which is paid for already, else a switched-off VM, else a VM
 * that must be drained first.
 */
function takeDonor(donors: { member: MovableVm }[], spareVms: MovableVm[]): MovableVm | undefined {
  const [first] = donors;
  const isIdle = first?.member.tasks === 0;
  if (first !== undefined && (isIdle || spareVms.length === 0)) return donors.shift()?.member;
  return spareVms.shift();
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

function computeCapacity(members: readonly MovableVm[]): Resources {
  const sum = new ResourceSum();
  for (const { vm } of members) sum.add(vm.capacity);
  return sum;
}

/** Whether any job has work that ends by itself. */
function hasFiniteWork(records: Iterable<JobRecord>): boolean {
  for (const { job } of records) {
    if (job.stored.submission.steps.some((step) => !step.isPersistent)) return true;
  }
  return false;
}
