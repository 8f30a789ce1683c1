import { decidePoolSizes, type PoolDemand } from '@currantgap/fleet';
import { TargetState, VmState, type Vm } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';
import type { PoolLoad } from './pool-load.ts';
import type { VmController } from './vm-controller.ts';
import { VmOccupancy } from './vm-occupancy.ts';

/** Milliseconds for which a pool must have surplus VMs before one is switched off. */
const SURPLUS_MS = 2_000;
/** Share of the waiting work that is added to the load computed from the arrival rate. */
const BACKLOG_SHARE = 0.5;

/**
 * VMs that start to move to a pool that needs them, and that start to be switched off, in one sweep. Many
 * orders at once would stall the owner for a second, just when a pool needs VMs because its load rises.
 */
const MOVES_PER_SWEEP = 16;
const RELEASES_PER_SWEEP = 4;
/** Milliseconds between log entries with the size of each pool. */
const REPORT_PERIOD_MS = 2_000;

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
  #reportedAt = -Infinity;

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
    const demands = pools.map((pool) =>
      this.#buildDemand(pool, loads.get(pool), members.get(pool)),
    );
    const sizes = decidePoolSizes(demands, total);
    this.#reportSizes(demands, sizes, members);
    this.#move(pools, sizes, members, spare);
  }

  /** Logs the size of each pool and what it was computed from, if a report is due. */
  #reportSizes(
    demands: readonly PoolDemand[],
    sizes: ReadonlyMap<string, number>,
    members: ReadonlyMap<string, MovableVm[]>,
  ): void {
    const { clock, logger } = this.#context;
    if (clock.now < this.#reportedAt + REPORT_PERIOD_MS) return;
    this.#reportedAt = clock.now;
    for (const { service, persistentVms, demandVms } of demands) {
      logger.writeInfo('pool sized', {
        service,
        vms: members.get(service)?.length ?? 0,
        size: sizes.get(service) ?? 0,
        persistentVms,
        demandVms: Math.round(demandVms),
      });
    }
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
    members: readonly MovableVm[] = [],
  ): PoolDemand {
    const { active, arrivals, clock } = this.#context;
    const hostingVms = members.filter(({ hasPersistent }) => hasPersistent).length;
    const persistentVms = Math.max(hostingVms, computeRequiredVms(active.values(), service));
    const vmCapacity = members[0]?.vm.capacity;
    if (load === undefined || vmCapacity === undefined)
      return { service, persistentVms, demandVms: 0 };
    const arriving = arrivals.computeLoad(service, clock.now);
    const cpuMillis = load.used.cpuMillis + load.waiting.cpuMillis;
    const memoryMb = load.used.memoryMb + load.waiting.memoryMb;
    const expectedCpuMillis =
      load.persistent.cpuMillis + arriving.cpuMillis + BACKLOG_SHARE * load.waiting.cpuMillis;
    const expectedMemoryMb =
      load.persistent.memoryMb + arriving.memoryMb + BACKLOG_SHARE * load.waiting.memoryMb;
    const demandVms = Math.max(
      Math.max(cpuMillis, expectedCpuMillis) / vmCapacity.cpuMillis,
      Math.max(memoryMb, expectedMemoryMb) / vmCapacity.memoryMb,
    );
    return { service, persistentVms, demandVms };
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

/** Whether any job has work that ends by itself. */
function hasFiniteWork(records: Iterable<JobRecord>): boolean {
  for (const { job } of records) {
    if (job.stored.submission.steps.some((step) => !step.isPersistent)) return true;
  }
  return false;
}
