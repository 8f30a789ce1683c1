import type { AdmissionEvidence } from '@currantgap/admission';
import type { LeaseRenewalFault } from '@currantgap/execution';
import {
  OrderOutcome,
  StartOutcome,
  TargetPort,
  type LeaseRenewalOrder,
  type RunOrder,
  type StartOrder,
  type TargetAddress,
  type TargetReport,
} from '@currantgap/execution';
import { EndKind } from '@currantgap/model';
import { BootClock, listenOn } from '@currantgap/tasks';
import { Logger, setLogSink } from '@currantgap/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { createServer, type Server } from 'node:http';
import { acceptForwarder, Forwarder, ForwarderPool } from '@currantgap/forwarding';

setLogSink(() => undefined);

export const EPOCH = 3;

export const REPORT: TargetReport = {
  clockMs: 100,
  bornAt: 1,
  running: [{ task: 'job.0.0.0', run: 1, checkpoint: 'c', percent: 50, reading: 7 }],
  ended: [{ sequence: 4, task: 'job.0.0.1', run: 2, kind: EndKind.Done, checkpoint: '' }],
  hasMoreEnds: true,
};

export const RENEWAL: LeaseRenewalOrder = {
  token: 7,
  acknowledgedThrough: 3,
  deadline: 4_000,
  waitMs: 0,
};

export function createTarget(id: string, dataCentre = 'riga-a'): TargetAddress {
  return { id, address: `${id}:1`, dataCentre };
}

export function createStart(task: string, spec = 'spec'): StartOrder {
  return {
    task,
    run: 1,
    spec,
    deadline: 4_000,
    minimumClockMs: 0,
    token: 7,
    checkpoint: '',
    ticket: undefined,
  };
}

/** Records calls and answers them, unless it is silent. */
export class RecordingPort extends TargetPort {
  readonly starts: (StartOrder & { target: string })[] = [];
  readonly stops: (RunOrder & { target: string })[] = [];
  readonly renewals: (LeaseRenewalOrder & { target: string })[] = [];
  /** Times after which the starts and renewals must not be sent, in the order of the calls. */
  readonly sendLimits: (number | undefined)[] = [];
  isSilent = false;
  renewalFault: LeaseRenewalFault | undefined;

  async start(
    target: TargetAddress,
    { sendBefore, ...order }: StartOrder,
    signal?: AbortSignal,
  ): Promise<StartOutcome> {
    this.sendLimits.push(sendBefore);
    this.starts.push({ ...order, target: target.id });
    const withdrawn = new Promise<StartOutcome>((resolve) => {
      signal?.addEventListener('abort', () => {
        resolve(StartOutcome.Abandoned);
      });
    });
    return Promise.race([this.#answer(StartOutcome.Accepted), withdrawn]);
  }

  async stop(target: TargetAddress, order: RunOrder): Promise<OrderOutcome> {
    this.stops.push({ ...order, target: target.id });
    return this.#answer(OrderOutcome.Accepted);
  }

  async renewLeases(
    target: TargetAddress,
    { sendBefore, ...order }: LeaseRenewalOrder,
  ): Promise<Result<TargetReport, LeaseRenewalFault>> {
    this.sendLimits.push(sendBefore);
    this.renewals.push({ ...order, target: target.id });
    const fault = this.renewalFault;
    return this.#answer(fault === undefined ? ok(REPORT) : err(fault));
  }

  async setPace(): Promise<OrderOutcome> {
    return this.#answer(OrderOutcome.Fenced);
  }

  async #answer<T>(value: T): Promise<T> {
    return this.isSilent ? new Promise(() => undefined) : Promise.resolve(value);
  }
}

/** An owner's pool behind a peer listener, and forwarders that connect to it. */
export class ForwardingHarness {
  readonly local = new RecordingPort();
  readonly clock = new BootClock();
  readonly pool = new ForwarderPool({
    epoch: EPOCH,
    local: this.local,
    clock: this.clock,
    dataCentre: 'riga-a',
    logger: new Logger(),
  });
  readonly evidence: { node: string; evidence: AdmissionEvidence }[] = [];
  /** Nodes whose owner has released its lease or was lost, once for each time. */
  readonly leavings: string[] = [];
  readonly ports = new Map<string, RecordingPort>();
  readonly #forwarders = new Map<string, Forwarder>();
  readonly #server: Server = createServer();
  #address = '';

  /** `host:port` of the owner's peer listener. */
  get address(): string {
    return this.#address;
  }

  async open(): Promise<void> {
    this.#server.on('upgrade', (request, socket, head) => {
      acceptForwarder({ request, socket, head, acceptor: this.pool }, new Logger());
    });
    this.#address = `127.0.0.1:${await listenOn(this.#server, '127.0.0.1', 0)}`;
  }

  /** Starts a forwarder; it connects within its check interval. */
  addForwarder(
    node: string,
    dataCentre = 'riga-a',
    epoch = EPOCH,
    clock = this.clock,
  ): RecordingPort {
    const port = new RecordingPort();
    this.ports.set(node, port);
    const forwarder = new Forwarder({
      targetPort: port,
      clock,
      logger: new Logger(),
      info: { node, dataCentre, cores: 1, linkMbps: 100 },
      findOwner: () => ({ address: this.#address, epoch }),
      onEvidence: (evidence) => this.evidence.push({ node, evidence }),
      onOwnerLeaving: () => this.leavings.push(node),
    });
    this.#forwarders.set(node, forwarder);
    forwarder.start();
    return port;
  }

  isConnected(node: string, epoch: number): boolean {
    return this.#forwarders.get(node)?.isConnectedTo(epoch) ?? false;
  }

  stopForwarder(node: string): void {
    this.#forwarders.get(node)?.stop();
  }

  close(): void {
    for (const forwarder of this.#forwarders.values()) forwarder.stop();
    this.pool.close();
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
