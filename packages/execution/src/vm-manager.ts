import type { Row, Store } from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import type { RunOrders } from './run-orders.ts';
import { computePoolLoads, type PoolLoad } from './pool-load.ts';
import { PoolSizer } from './pool-sizer.ts';
import type { PlacedVm } from './pool-supply.ts';
import type { VmPort } from './ports.ts';
import type { ReportProcessor } from './report-processor.ts';
import { VmController } from './vm-controller.ts';
import { VM_ORDER_TABLE, VmOrderLog } from './vm-order-log.ts';
import { VmOrders } from './vm-orders.ts';
import { WAVE_TABLE, WaveController, type EncodeWaveStatus } from './wave-controller.ts';

/** Options of a VM manager. */
export interface VmManagerOptions {
  readonly context: OwnerContext;
  readonly orders: RunOrders;
  readonly reportProcessor: ReportProcessor;
  readonly store: Store;
  readonly port: VmPort;
  /** Whether this node's lease was renewed recently enough to order VMs. */
  readonly hasFreshLease: () => boolean;
  readonly encodeWaveStatus: EncodeWaveStatus;
}

/** Manages the VMs for the owner: plans maintenance waves first, then resizes the pools. */
export class VmManager {
  readonly #context: OwnerContext;
  readonly #orderLog: VmOrderLog;
  readonly #vmController: VmController;
  readonly #poolSizer: PoolSizer;
  readonly #waveController: WaveController;
  #isLoaded = false;

  constructor(options: VmManagerOptions) {
    const { context, orders, reportProcessor, store, port, hasFreshLease, encodeWaveStatus } =
      options;
    this.#context = context;
    this.#orderLog = new VmOrderLog(context, store);
    this.#vmController = new VmController({
      context,
      orders,
      reportProcessor,
      port,
      vmOrders: new VmOrders({ context, port, log: this.#orderLog, hasFreshLease }),
      onMaintained: (vm, wave) => {
        this.#waveController.record(vm, wave);
      },
    });
    this.#waveController = new WaveController({
      context,
      vmController: this.#vmController,
      store,
      encodeStatus: encodeWaveStatus,
    });
    this.#poolSizer = new PoolSizer(context, this.#vmController);
  }

  /** Loads the progress of each wave and the orders that earlier owners sent lately. */
  load(getRows: (table: string) => readonly Row[]): void {
    this.#waveController.load(getRows(WAVE_TABLE));
    this.#orderLog.load(getRows(VM_ORDER_TABLE));
    this.#isLoaded = true;
  }

  /**
   * Lists the VMs with their pools, without those that are being maintained; undefined until the VM
   * service has listed them.
   */
  listVms(): PlacedVm[] | undefined {
    if (!this.#vmController.isListed) return undefined;
    const placed: PlacedVm[] = [];
    for (const vm of this.#vmController.vms) {
      const plan = this.#vmController.findOperation(vm.name)?.plan;
      if (plan?.kind === 'maintain') continue;
      placed.push({ vm, pool: plan?.pool ?? vm.pool });
    }
    return placed;
  }

  /** Prevents further orders; used when the term ends. */
  stop(): void {
    this.#orderLog.stop();
  }

  /**
   * Advances all operations and starts new ones; does nothing before `load`, because the protocol
   * may allow only a predecessor to order some VMs.
   */
  sweep(): void {
    if (!this.#isLoaded) return;
    let loads: ReadonlyMap<string, PoolLoad> | undefined;
    // Loads are computed at most once per sweep, because starting a plan does not change them, and
    // only on demand, because many sweeps need none.
    const getLoads = (): ReadonlyMap<string, PoolLoad> =>
      (loads ??= computePoolLoads(this.#context));
    this.#waveController.sweep(getLoads);
    this.#poolSizer.sweep(getLoads);
    this.#vmController.sweep();
  }
}
