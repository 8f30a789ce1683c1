import { sortDueVms, type DueVm } from '@currantgap/fleet';
import { VmState, type Vm, type Wave } from '@currantgap/model';
import { OWNER_PART } from '@currantgap/ownership';
import type { Row, Store } from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import type { PoolLoad } from './pool-load.ts';
import type { VmKeeper } from './vm-keeper.ts';
import { VmPhase } from './vm-orders.ts';

/** Table of what is done of each wave. */
export const WAVE_TABLE = 'waves';
const MILLISECONDS = 1_000;
/** Load of a pool's processors beyond which it has no VM to spare. */
const BUSY_LOAD = 0.6;
/** Milliseconds before a status that was not written is written again. */
const STATUS_RETRY_MS = 500;

/** What the keeper knows of one wave. */
interface WaveProgress {
  readonly wave: Wave;
  readonly seenAt: number;
  readonly done: Set<string>;
  /** What operators were told last. */
  reported: WaveState | undefined;
  reportNotBefore: number;
}

enum WaveState {
  Running = 'running',
  Complete = 'complete',
}

/** Writes what operators read of a wave. */
export type EncodeWaveStatus = (
  wave: number,
  isComplete: boolean,
) => { table: string; key: string; value: string };

/** Options of a wave keeper. */
export interface WaveKeeperOptions {
  readonly context: OwnerContext;
  readonly keeper: VmKeeper;
  readonly store: Store;
  readonly encodeStatus: EncodeWaveStatus;
}

/** Takes the VMs of maintenance waves down, few at a time, and tells operators how far it is. */
export class WaveKeeper {
  readonly #options: WaveKeeperOptions;
  readonly #waves = new Map<number, WaveProgress>();
  readonly #doneBefore = new Map<number, Set<string>>();

  constructor(options: WaveKeeperOptions) {
    this.#options = options;
  }

  /** Loads what earlier terms have done of each wave. */
  load(rows: readonly Row[]): void {
    for (const row of rows) {
      this.#doneBefore.set(Number(row.key), new Set(JSON.parse(row.value) as string[]));
    }
  }

  /** Records that a VM's maintenance has begun. */
  record(vm: string, wave: number): void {
    const progress = this.#waves.get(wave);
    if (progress === undefined) return;
    progress.done.add(vm);
    void this.#writeProgress(progress);
  }

  /** Plans maintenance within the limits of each wave and reports. */
  sweep(getLoads: () => ReadonlyMap<string, PoolLoad>): void {
    const { context, keeper } = this.#options;
    for (const wave of context.getOperatorView().waves) this.#open(wave);
    if (!keeper.isReady) return;
    const vms = new Map([...keeper.vms].map((vm) => [vm.name, vm]));
    for (const progress of this.#waves.values()) {
      this.#plan(progress, vms, getLoads);
      this.#report(progress, vms);
    }
  }

  #open(wave: Wave): void {
    if (this.#waves.has(wave.number)) return;
    this.#waves.set(wave.number, {
      wave,
      seenAt: this.#options.context.clock.now,
      done: this.#doneBefore.get(wave.number) ?? new Set(),
      reported: undefined,
      reportNotBefore: 0,
    });
  }

  #plan(
    progress: WaveProgress,
    vms: ReadonlyMap<string, Vm>,
    getLoads: () => ReadonlyMap<string, PoolLoad>,
  ): void {
    const { context, keeper } = this.#options;
    const { wave, done, seenAt } = progress;
    let free = wave.concurrency;
    for (const intent of keeper.intents) {
      if (intent.plan.kind === 'maintain' && intent.plan.wave === wave.number) free -= 1;
    }
    if (free <= 0) return;
    const services = context.getOperatorView().configuration?.services ?? [];
    const loads = getLoads();
    const due: DueVm[] = [];
    for (const name of wave.vms) {
      const vm = vms.get(name);
      if (vm?.state === VmState.Maintenance && keeper.findIntent(name) === undefined) free -= 1;
      if (vm === undefined || done.has(name) || keeper.findIntent(name) !== undefined) continue;
      if (vm.state !== VmState.Up) continue;
      const isOff = services.some((service) => service.isSpare && service.name === vm.pool);
      due.push(this.#describe(vm, isOff, loads.get(vm.pool)));
    }
    const elapsed = (context.clock.now - seenAt) / (wave.durationS * MILLISECONDS);
    for (const vm of sortDueVms(due, elapsed).slice(0, free)) {
      keeper.plan(vm.name, { kind: 'maintain', wave: wave.number });
    }
  }

  #describe(vm: Vm, isOff: boolean, load: PoolLoad | undefined): DueVm {
    const target = this.#options.keeper.findTarget(vm.name);
    const assignments = target === undefined ? [] : [...target.assignments];
    const persistent = assignments.filter(({ task }) => task.step.definition.isPersistent).length;
    const busy = load === undefined ? 0 : load.used.cpuMillis + load.waiting.cpuMillis;
    return {
      name: vm.name,
      isOff,
      persistentTasks: persistent,
      otherTasks: assignments.length - persistent,
      isPoolBusy: load !== undefined && busy > BUSY_LOAD * load.capacity.cpuMillis,
    };
  }

  /** A wave is complete once each of its VMs that still exists has begun its maintenance. */
  #report(progress: WaveProgress, vms: ReadonlyMap<string, Vm>): void {
    const { context, keeper } = this.#options;
    const { wave, done } = progress;
    const isAway = [...keeper.intents].some(
      ({ plan, phase }) =>
        plan.kind === 'maintain' && plan.wave === wave.number && phase !== VmPhase.Closing,
    );
    const isComplete = !isAway && wave.vms.every((name) => done.has(name) || !vms.has(name));
    const state = isComplete ? WaveState.Complete : WaveState.Running;
    const { now } = context.clock;
    if (progress.reported === state || now < progress.reportNotBefore) return;
    progress.reportNotBefore = now + STATUS_RETRY_MS;
    void this.#writeStatus(progress, state);
  }

  async #writeStatus(progress: WaveProgress, state: WaveState): Promise<void> {
    const { store, encodeStatus, context } = this.#options;
    const row = encodeStatus(progress.wave.number, state === WaveState.Complete);
    const puts = [{ ...row, part: '' }];
    const result = await store.commit({ conditions: [], puts, removals: [] });
    const wave = progress.wave.number;
    if (result.isErr()) {
      context.logger.writeWarning('wave not reported', { wave, reason: result.error.message });
      return;
    }
    progress.reported = state;
    context.logger.writeInfo('wave reported', { wave, state });
  }

  /** A successor sends an order again that is not noted here; the VM service takes it as done. */
  async #writeProgress({ wave, done }: WaveProgress): Promise<void> {
    const { store, context } = this.#options;
    const key = String(wave.number);
    const value = JSON.stringify([...done]);
    const puts = [{ table: WAVE_TABLE, part: OWNER_PART, key, value }];
    const result = await store.commit({ conditions: [], puts, removals: [] });
    if (result.isOk()) return;
    context.logger.writeWarning('wave progress not written', { reason: result.error.message });
  }
}
