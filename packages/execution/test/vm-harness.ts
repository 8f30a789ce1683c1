import { VmState, type Vm } from '@currantgap/model';
import { JobLookup } from '../src/job-lookup.ts';
import { VmOrderOutcome, VmPort, type VmOrder } from '../src/ports.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunOrders } from '../src/run-orders.ts';
import { VmController } from '../src/vm-controller.ts';
import { VmOrderLog } from '../src/vm-order-log.ts';
import { VmOrders } from '../src/vm-orders.ts';
import { flushPromises, TermHarness } from './term-harness.ts';

/** The VM on which target `t1` of the harness runs. */
export const VM: Vm = {
  name: 'vm-t1',
  pool: 'kartes',
  state: VmState.Up,
  dataCentre: 'riga-a',
  labels: [],
  capacity: { cpuMillis: 4_000, memoryMb: 16_384, gpus: 0 },
  targetId: 't1',
};

/** Records the orders and lists the VMs that a test sets. */
export class FakeVmPort extends VmPort {
  readonly moves: string[] = [];
  readonly maintained: string[] = [];
  vms: readonly Vm[] = [VM];
  /** Outcomes of the next moves; further ones are accepted. */
  readonly outcomes: VmOrderOutcome[] = [];
  /** Called when a move is carried out, before it is answered. */
  onMove: () => void = () => undefined;

  async list(): Promise<readonly Vm[]> {
    return Promise.resolve(this.vms);
  }

  async move({ vm }: VmOrder): Promise<VmOrderOutcome> {
    this.moves.push(vm);
    this.onMove();
    return Promise.resolve(this.outcomes.shift() ?? VmOrderOutcome.Accepted);
  }

  async maintain({ vm }: VmOrder): Promise<VmOrderOutcome> {
    this.maintained.push(vm);
    return Promise.resolve(VmOrderOutcome.Accepted);
  }
}

/** Creates a VM controller that has read the VM list. */
export async function createController(
  pendingTargets: readonly string[] = [],
  vms: readonly Vm[] = [VM],
) {
  const harness = new TermHarness();
  for (const id of pendingTargets) {
    harness.context.reconciliation.expectReport({ id, service: 'kartes' });
  }
  await harness.writeFence();
  const { context, store } = harness;
  const port = new FakeVmPort();
  port.vms = vms;
  const log = new VmOrderLog(context, store);
  const orders = new RunOrders(context);
  const reportProcessor = new ReportProcessor(context, orders, new JobLookup(context, store));
  const controller = new VmController({
    context,
    orders,
    reportProcessor,
    vmOrders: new VmOrders({ context, port, log, hasFreshLease: () => true }),
    port,
    onMaintained: () => undefined,
  });
  controller.sweep();
  await flushPromises();
  return { harness, port, controller, log, orders, reportProcessor };
}
