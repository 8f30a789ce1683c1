import type { Row, Store } from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import type { RunOrders } from './run-orders.ts';
import { computePoolLoads, type PoolLoad } from './pool-load.ts';
import { PoolSizer } from './pool-sizer.ts';
import type { VmPort } from './ports.ts';
import type { ReportProcessor } from './report-processor.ts';
import { VmKeeper } from './vm-keeper.ts';
import { VmOrders } from './vm-orders.ts';
import { WaveKeeper, type EncodeWaveStatus } from './wave-keeper.ts';

/** Options of the work on VMs. */
export interface VmWorkOptions {
  readonly context: OwnerContext;
  readonly orders: RunOrders;
  readonly reports: ReportProcessor;
  readonly store: Store;
  readonly port: VmPort;
  /** Tells whether this node's lease was renewed just now. */
  readonly isCertain: () => boolean;
  readonly encodeWaveStatus: EncodeWaveStatus;
}

/** All that the owner does with VMs: maintenance waves first, then the sizes of pools. */
export class VmWork {
  readonly #context: OwnerContext;
  readonly #vmOrders: VmOrders;
  readonly #keeper: VmKeeper;
  readonly #sizer: PoolSizer;
  readonly #waves: WaveKeeper;

  constructor(options: VmWorkOptions) {
    const { context, orders, reports, store, port, isCertain, encodeWaveStatus } = options;
    this.#context = context;
    this.#vmOrders = new VmOrders(context, port, isCertain);
    this.#keeper = new VmKeeper({
      context,
      orders,
      reports,
      port,
      vmOrders: this.#vmOrders,
      onMaintained: (vm, wave) => {
        this.#waves.record(vm, wave);
      },
    });
    this.#waves = new WaveKeeper({
      context,
      keeper: this.#keeper,
      store,
      encodeStatus: encodeWaveStatus,
    });
    this.#sizer = new PoolSizer(context, this.#keeper);
  }

  /** Milliseconds since the last order for a VM; undefined without one. */
  get orderAgeMs(): number | undefined {
    return this.#vmOrders.orderAgeMs;
  }

  /** Loads what earlier terms have done of each wave. */
  load(rows: readonly Row[]): void {
    this.#waves.load(rows);
  }

  /** Moves all plans on and makes new ones. */
  sweep(): void {
    this.#keeper.sweep();
    let loads: ReadonlyMap<string, PoolLoad> | undefined;
    // Neither plan changes the loads, and many rounds need none.
    const getLoads = (): ReadonlyMap<string, PoolLoad> =>
      (loads ??= computePoolLoads(this.#context));
    this.#waves.sweep(getLoads);
    this.#sizer.sweep(getLoads);
  }
}
