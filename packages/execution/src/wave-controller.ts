import { sortDueVms, type DueVm } from '@currantgap/fleet';
import { VmState, type Vm, type Wave } from '@currantgap/model';
import { OWNER_PART } from '@currantgap/ownership';
import { StoreFaultKind, type Row, type Store } from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import type { PoolLoad } from './pool-load.ts';
import type { VmController } from './vm-controller.ts';
import { VmOccupancy } from './vm-occupancy.ts';
import { VmPhase } from './vm-orders.ts';

/** Table with the progress of each maintenance wave. */
export const WAVE_TABLE = 'waves';
const MS_PER_SECOND = 1_000;
/** CPU utilisation above which a pool cannot spare a VM. */
const BUSY_UTILISATION = 0.6;
/** Milliseconds before a failed write of a wave's status is retried. */
const STATUS_RETRY_MS = 500;

/** Progress of one maintenance wave. */
interface WaveProgress {
  readonly wave: Wave;
  /** Monotonic time at which this term first saw the wave, in milliseconds. */
  readonly seenAt: number;
  /** Store time at which the first owner saw the wave, in milliseconds; undefined if not known. */
  readonly startedAt: number | undefined;
  /** Names of the VMs whose maintenance has begun. */
  readonly done: Set<string>;
  /** State that was last reported to operators. */
  reported: WaveState | undefined;
  /** Version of the status row as last known; 0 if it does not exist. */
  statusVersion: number;
  reportNotBefore: number;
}

/** Stored progress of a wave. */
interface WaveRow {
  readonly startedAt?: number;
  readonly done: readonly string[];
}

enum WaveState {
  Running = 'running',
  Complete = 'complete',
}

/** Encodes the status row of a wave, which operators read. */
export type EncodeWaveStatus = (
  wave: number,
  isComplete: boolean,
) => { table: string; key: string; value: string };

/** Options of a wave controller. */
export interface WaveControllerOptions {
  readonly context: OwnerContext;
  readonly vmController: VmController;
  readonly store: Store;
  readonly encodeStatus: EncodeWaveStatus;
}

/**
 * Takes the VMs of maintenance waves out of service within each wave's concurrency limit and
 * reports the state of each wave to operators.
 */
export class WaveController {
  readonly #options: WaveControllerOptions;
  readonly #waves = new Map<number, WaveProgress>();
  readonly #earlierProgress = new Map<number, WaveRow>();

  constructor(options: WaveControllerOptions) {
    this.#options = options;
  }

  /** Loads the progress of each wave from earlier terms. A malformed row is logged and skipped. */
  load(rows: readonly Row[]): void {
    for (const { key, value } of rows) {
      const progress = decodeWaveRow(value);
      if (progress !== undefined) this.#earlierProgress.set(Number(key), progress);
      else this.#options.context.logger.writeError('wave progress not decodable', { wave: key });
    }
  }

  /** Records that a VM's maintenance has begun. */
  record(vm: string, wave: number): void {
    const progress = this.#waves.get(wave);
    if (progress === undefined) return;
    progress.done.add(vm);
    void this.#writeProgress(progress);
  }

  /** Starts maintenance within the concurrency limit of each wave and reports changes of state. */
  sweep(getLoads: () => ReadonlyMap<string, PoolLoad>): void {
    const { context, vmController } = this.#options;
    for (const wave of context.getOperatorView().waves) this.#addWave(wave);
    if (!vmController.isReady) return;
    const vms = new Map([...vmController.vms].map((vm) => [vm.name, vm]));
    for (const progress of this.#waves.values()) {
      this.#plan(progress, vms, getLoads);
      this.#report(progress, vms);
    }
  }

  #addWave(wave: Wave): void {
    if (this.#waves.has(wave.number)) return;
    const { context, store } = this.#options;
    const earlier = this.#earlierProgress.get(wave.number);
    const progress = {
      wave,
      seenAt: context.clock.now,
      startedAt: earlier?.startedAt ?? store.now,
      done: new Set(earlier?.done),
      reported: undefined,
      statusVersion: 0,
      reportNotBefore: 0,
    };
    this.#waves.set(wave.number, progress);
    if (earlier?.startedAt === undefined) void this.#writeProgress(progress);
  }

  /** Computes the share of a wave's duration that has passed, over all terms. */
  #computeElapsedShare({ wave, seenAt, startedAt }: WaveProgress): number {
    const { context, store } = this.#options;
    const elapsedInTermMs = context.clock.now - seenAt;
    const elapsedMs = startedAt === undefined ? 0 : (store.now ?? startedAt) - startedAt;
    return Math.max(elapsedInTermMs, elapsedMs) / (wave.durationS * MS_PER_SECOND);
  }

  #plan(
    progress: WaveProgress,
    vms: ReadonlyMap<string, Vm>,
    getLoads: () => ReadonlyMap<string, PoolLoad>,
  ): void {
    const { context, vmController } = this.#options;
    const { wave, done } = progress;
    let freeSlots = wave.concurrency;
    for (const operation of vmController.operations) {
      if (operation.plan.kind === 'maintain' && operation.plan.wave === wave.number) freeSlots -= 1;
    }
    if (freeSlots <= 0) return;
    const services = context.getOperatorView().configuration?.services ?? [];
    const loads = getLoads();
    const due: DueVm[] = [];
    for (const name of wave.vms) {
      const vm = vms.get(name);
      if (this.#isMaintainedByPredecessor(name, vm)) freeSlots -= 1;
      if (vm === undefined || done.has(name) || vmController.findOperation(name) !== undefined)
        continue;
      if (vm.state !== VmState.Up || !vmController.canOrder(name)) continue;
      if (vmController.findOccupancy(vm) === VmOccupancy.Unknown) continue;
      const isOff = services.some((service) => service.isSpare && service.name === vm.pool);
      due.push(this.#buildDueVm(vm, isOff, loads.get(vm.pool)));
    }
    if (freeSlots <= 0) return;
    const elapsedShare = this.#computeElapsedShare(progress);
    for (const vm of sortDueVms(due, elapsedShare).slice(0, freeSlots)) {
      vmController.startPlan(vm.name, { kind: 'maintain', wave: wave.number });
    }
  }

  /**
   * Whether an order of an earlier owner occupies a slot. If it was sent lately, the VM list may not
   * show its effect yet.
   */
  #isMaintainedByPredecessor(name: string, vm: Vm | undefined): boolean {
    const { vmController } = this.#options;
    if (vm === undefined || vmController.findOperation(name) !== undefined) return false;
    return vm.state === VmState.Maintenance || vmController.hasPredecessorOrder(name);
  }

  #buildDueVm(vm: Vm, isOff: boolean, load: PoolLoad | undefined): DueVm {
    const targets = this.#options.context.fleet.listOnVm(vm.name);
    const assignments = targets.flatMap((target) => [...target.assignments]);
    const persistentTasks = assignments.filter(
      ({ task }) => task.step.definition.isPersistent,
    ).length;
    const requestedCpuMillis =
      load === undefined ? 0 : load.used.cpuMillis + load.waiting.cpuMillis;
    return {
      name: vm.name,
      isOff,
      persistentTasks,
      otherTasks: assignments.length - persistentTasks,
      isPoolBusy:
        load !== undefined && requestedCpuMillis > BUSY_UTILISATION * load.capacity.cpuMillis,
    };
  }

  /**
   * Reports a wave as complete once the maintenance of each VM that has not left since the wave was
   * seen has begun and no operation of the wave is in progress after its order.
   */
  #report(progress: WaveProgress, vms: ReadonlyMap<string, Vm>): void {
    const { context, vmController } = this.#options;
    const { wave, done, seenAt, reported } = progress;
    if (reported === WaveState.Complete) return;
    const remaining = wave.vms.filter((name) => !done.has(name));
    const isInProgress = [...vmController.operations].some(
      ({ plan, phase }) =>
        plan.kind === 'maintain' && plan.wave === wave.number && phase !== VmPhase.Draining,
    );
    const isComplete =
      !isInProgress && remaining.every((name) => vmController.hasLeft(name, seenAt));
    if (!isComplete && remaining.some((name) => !vms.has(name))) vmController.requestList();
    const state = isComplete ? WaveState.Complete : WaveState.Running;
    const { now } = context.clock;
    if (reported === state || now < progress.reportNotBefore) return;
    progress.reportNotBefore = now + STATUS_RETRY_MS;
    void this.#writeStatus(progress, state);
  }

  /**
   * Writes the status only over the row that is known, since a write without a response may be performed
   * later, and another owner may have reported the wave as complete.
   */
  async #writeStatus(progress: WaveProgress, state: WaveState): Promise<void> {
    const { store, encodeStatus, context } = this.#options;
    const wave = progress.wave.number;
    const row = { ...encodeStatus(wave, state === WaveState.Complete), part: '' };
    const conditions = [
      { table: row.table, part: '', key: row.key, version: progress.statusVersion },
    ];
    const result = await store.commit({ conditions, puts: [row], removals: [] });
    if (result.isOk()) {
      progress.statusVersion = result.value;
      progress.reported = state;
      context.logger.writeInfo('wave reported', { wave, state });
      return;
    }
    const { kind, message, rows } = result.error;
    if (kind === StoreFaultKind.Conflict) this.#applyConflict(progress, rows[0]);
    else context.logger.writeWarning('wave not reported', { wave, reason: message });
  }

  /** Takes over the status row that a write has found in place of the one that was known. */
  #applyConflict(progress: WaveProgress, row: Row | undefined): void {
    const { encodeStatus, context } = this.#options;
    const wave = progress.wave.number;
    progress.statusVersion = row?.version ?? 0;
    progress.reportNotBefore = 0;
    const isComplete = row?.value === encodeStatus(wave, true).value;
    if (isComplete) progress.reported = WaveState.Complete;
    context.logger.writeInfo('wave reported before', { wave, isComplete });
  }

  /**
   * Writes the progress of a wave. If the write fails, a successor repeats the order, which the VM
   * service accepts as already executed.
   */
  async #writeProgress({ wave, done, startedAt }: WaveProgress): Promise<void> {
    const { store, context } = this.#options;
    const key = String(wave.number);
    const row: WaveRow = { done: [...done], ...(startedAt === undefined ? {} : { startedAt }) };
    const value = JSON.stringify(row);
    const puts = [{ table: WAVE_TABLE, part: OWNER_PART, key, value }];
    const result = await store.commit({ conditions: [], puts, removals: [] });
    if (result.isOk()) return;
    context.logger.writeWarning('wave progress not written', { reason: result.error.message });
  }
}

/** Decodes a row; earlier versions stored only the list of VMs. Returns undefined if malformed. */
function decodeWaveRow(value: string): WaveRow | undefined {
  try {
    const parsed = JSON.parse(value) as WaveRow | readonly string[] | null;
    const row = Array.isArray(parsed) ? { done: parsed as readonly string[] } : (parsed as WaveRow);
    const { startedAt, done } = row;
    if (startedAt !== undefined && !Number.isFinite(startedAt)) return undefined;
    return done.every((name) => typeof name === 'string') ? row : undefined;
  } catch {
    return undefined;
  }
}
