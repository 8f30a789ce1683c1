import { decidePoolSizes, type PoolDemand } from '@currantgap/fleet';
import { TargetState, VmState, type Vm } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { JobRecord } from './job-book.ts';
import type { PoolLoad } from './pool-load.ts';
import type { VmKeeper } from './vm-keeper.ts';

/** Milliseconds for which a pool must have too many VMs before one is switched off. */
const SURPLUS_MS = 2_000;
/** Share of the waiting work that is added to what the arrivals will fill. */
const BACKLOG_SHARE = 0.5;

/** A VM that takes part in moves. */
interface MovableVm {
  readonly vm: Vm;
  readonly tasks: number;
  readonly hasPersistent: boolean;
}

/** Moves VMs to pools that need them and switches off those that none needs. */
export class PoolSizer {
  readonly #context: OwnerContext;
  readonly #keeper: VmKeeper;
  #isWarm = false;
  readonly #surplusSince = new Map<string, number>();

  constructor(context: OwnerContext, keeper: VmKeeper) {
    this.#context = context;
    this.#keeper = keeper;
  }

  /** Plans the moves that pools need now. */
  sweep(getLoads: () => ReadonlyMap<string, PoolLoad>): void {
    const services = this.#context.getOperatorView().configuration?.services ?? [];
    const spare = services.find(({ isSpare }) => isSpare)?.name;
    // Until the first work has come, VMs may still be starting.
    this.#isWarm ||= this.#context.active.size > 0;
    if (spare === undefined || !this.#keeper.isReady || !this.#isWarm) return;
    const loads = getLoads();
    const members = this.#groupVms();
    const pools = services.filter(({ isSpare }) => !isSpare).map(({ name }) => name);
    const total = [...members.values()].reduce((sum, vms) => sum + vms.length, 0);
    const demands = pools.map((pool) => this.#describe(pool, loads.get(pool), members.get(pool)));
    const sizes = decidePoolSizes(demands, total);
    this.#move(pools, sizes, members, spare);
  }

  /** Groups the VMs that are up, or on their way, by the pool that they will be in. */
  #groupVms(): Map<string, MovableVm[]> {
    const { fleet, getOperatorView } = this.#context;
    const { evacuated } = getOperatorView();
    const byVm = new Map([...fleet.targets].map((target) => [target.entry.vm, target]));
    const groups = new Map<string, MovableVm[]>();
    for (const vm of this.#keeper.vms) {
      if (vm.state === VmState.Down || evacuated.has(vm.dataCentre)) continue;
      const intent = this.#keeper.findIntent(vm.name);
      if (intent?.plan.kind === 'maintain') continue;
      const target = byVm.get(vm.name);
      if (target?.entry.state === TargetState.Draining) continue;
      const pool = intent?.plan.kind === 'move' ? intent.plan.pool : vm.pool;
      const assignments = target === undefined ? [] : [...target.assignments];
      const member = {
        vm,
        tasks: assignments.length,
        hasPersistent: assignments.some(({ task }) => task.step.definition.isPersistent),
      };
      groups.set(pool, [...(groups.get(pool) ?? []), member]);
    }
    return groups;
  }

  #describe(
    service: string,
    load: PoolLoad | undefined,
    members: readonly MovableVm[] = [],
  ): PoolDemand {
    const { active, arrivals, clock } = this.#context;
    const hosts = members.filter(({ hasPersistent }) => hasPersistent).length;
    const persistentVms = Math.max(hosts, computeSpread(active.values(), service));
    const size = members[0]?.vm.capacity;
    if (load === undefined || size === undefined) return { service, persistentVms, demandVms: 0 };
    const coming = arrivals.computeLoad(service, clock.now);
    const cpuMillis = load.used.cpuMillis + load.waiting.cpuMillis;
    const memoryMb = load.used.memoryMb + load.waiting.memoryMb;
    const comingCpu =
      load.persistent.cpuMillis + coming.cpuMillis + BACKLOG_SHARE * load.waiting.cpuMillis;
    const comingMemory =
      load.persistent.memoryMb + coming.memoryMb + BACKLOG_SHARE * load.waiting.memoryMb;
    const demandVms = Math.max(
      Math.max(cpuMillis, comingCpu) / size.cpuMillis,
      Math.max(memoryMb, comingMemory) / size.memoryMb,
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
    const donors: { pool: string; vm: MovableVm }[] = [];
    const needs: string[] = [];
    for (const pool of pools) {
      const vms = members.get(pool) ?? [];
      const surplus = vms.length - (sizes.get(pool) ?? vms.length);
      for (let missing = -surplus; missing > 0; missing -= 1) needs.push(pool);
      if (surplus <= 0) this.#surplusSince.delete(pool);
      else if (!this.#surplusSince.has(pool)) this.#surplusSince.set(pool, now);
      const movable = vms.filter((vm) => this.#isMovable(vm)).sort((a, b) => a.tasks - b.tasks);
      for (const vm of movable.slice(0, Math.max(0, surplus))) donors.push({ pool, vm });
    }
    donors.sort((left, right) => left.vm.tasks - right.vm.tasks);
    const reserve = (members.get(spare) ?? []).filter((vm) => this.#isMovable(vm));
    for (const pool of needs) {
      const donor = takeDonor(donors, reserve);
      if (donor === undefined) return;
      this.#keeper.plan(donor.vm.name, { kind: 'move', pool });
    }
    for (const { pool, vm } of donors) {
      const since = this.#surplusSince.get(pool) ?? now;
      if (vm.tasks > 0 || now < since + SURPLUS_MS) continue;
      this.#keeper.plan(vm.vm.name, { kind: 'move', pool: spare });
    }
  }

  #isMovable(member: MovableVm): boolean {
    if (member.hasPersistent || this.#keeper.findIntent(member.vm.name) !== undefined) return false;
    return member.vm.state === VmState.Up;
  }
}

/** Takes a VM that is paid for and idle, else one that is off, else one that must be emptied. */
function takeDonor(donors: { vm: MovableVm }[], reserve: MovableVm[]): MovableVm | undefined {
  const [first] = donors;
  const isIdle = first?.vm.tasks === 0;
  if (first !== undefined && (isIdle || reserve.length === 0)) return donors.shift()?.vm;
  return reserve.shift();
}

/** VMs that the persistent steps of a service need so that all of their tasks find a place. */
function computeSpread(records: Iterable<JobRecord>, service: string): number {
  let spread = 0;
  for (const { job, route } of records) {
    if (route?.service !== service) continue;
    for (const { isPersistent, antiAffinity, count } of job.stored.submission.steps) {
      if (isPersistent) spread = Math.max(spread, antiAffinity > 0 ? count / antiAffinity : 1);
    }
  }
  return Math.ceil(spread);
}
