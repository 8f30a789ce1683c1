import type { Row, Store } from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import type { RunOrders } from './run-orders.ts';
import { computePoolLoads, type PoolLoad } from './pool-load.ts';
import { PoolSizer } from './pool-sizer.ts';
import type { VmPort } from './ports.ts';
import type { ReportProcessor } from './report-processor.ts';
import { VmController } from './vm-controller.ts';
import { VmOrders } from './vm-orders.ts';
import { WaveController, type EncodeWaveStatus } from './wave-controller.ts';

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
  readonly #vmOrders: VmOrders;
  readonly #vmController: VmController;
  readonly #poolSizer: PoolSizer;
  readonly #waveController: WaveController;

  constructor(options: VmManagerOptions) {
    const { context, orders, reportProcessor, store, port, hasFreshLease, encodeWaveStatus } =
      options;
    this.#context = context;
    this.#vmOrders = new VmOrders(context, port, hasFreshLease);
    this.#vmController = new VmController({
      context,
      orders,
      reportProcessor,
      port,
      vmOrders: this.#vmOrders,
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

  /** Milliseconds since the last order for a VM in this term; undefined if there is none. */
  get orderAgeMs(): number | undefined {
    return this.#vmOrders.orderAgeMs;
  }

  /** Loads the progress of each wave from earlier terms. */
  load(rows: readonly Row[]): void {
    this.#waveController.load(rows);
  }

  /** Advances all operations and starts new ones. */
  sweep(): void {
    this.#vmController.sweep();
    let loads: ReadonlyMap<string, PoolLoad> | undefined;
    // Loads are computed at most once per sweep, because starting a plan does not change them, and
    // only on demand, because many sweeps need none.
    const getLoads = (): ReadonlyMap<string, PoolLoad> =>
      (loads ??= computePoolLoads(this.#context));
    this.#waveController.sweep(getLoads);
    this.#poolSizer.sweep(getLoads);
  }
}
