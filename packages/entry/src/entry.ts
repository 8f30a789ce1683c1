import { ChangeWriter } from '@currantgap/freshness';
import {
  CallerListener,
  ClaimStore,
  MessageKind,
  Relay,
  type DispatcherMessage,
} from '@currantgap/gateway';
import { listIncarnations } from '@currantgap/membership';
import { OperatorListener, OperatorService } from '@currantgap/operator';
import { PeerServer } from '@currantgap/peer';
import { RetryBudget } from '@currantgap/routing';
import { formatAddress, parseAddress, type EntrySettings } from '@currantgap/settings';
import { PeriodicRunner } from '@currantgap/tasks';
import { PeerAnnouncer } from './announcer.ts';
import { createAssembly, type Assembly } from './assembly.ts';
import { useAllowances, type EntryCore } from './core.ts';
import { Heartbeat } from './heartbeat.ts';
import { createPeerHandler } from './peer-calls.ts';
import * as periods from './periods.ts';
import { SeatKeeper } from './seat-keeper.ts';
import { SettlementTask } from './settlement-task.ts';
import { describeStatus, listTeams } from './status.ts';
import { TableFollower } from './table-follower.ts';

/** Ports that an entry has taken. */
export interface EntryPorts {
  readonly caller: number;
  readonly operator: number;
  readonly peer: number;
}

/** One entry process: listeners, tasks and their life from start to planned stop. */
export class Entry {
  readonly #settings: EntrySettings;
  readonly #assembly: Assembly;
  readonly #core: EntryCore;
  readonly #relay: Relay;
  readonly #callers: CallerListener;
  readonly #operators: OperatorListener;
  readonly #peerServer: PeerServer;
  readonly #jobs: PeriodicRunner[] = [];
  #seats: SeatKeeper | undefined;
  #isStopping = false;
  #onLost: () => void = () => undefined;

  constructor(settings: EntrySettings) {
    this.#settings = settings;
    this.#assembly = createAssembly(settings);
    this.#core = this.#assembly.core;
    this.#relay = new Relay(this.#core.clock);
    this.#callers = this.#createCallerListener();
    this.#operators = this.#createOperatorListener();
    this.#peerServer = new PeerServer({
      handler: createPeerHandler(this.#core),
      key: settings.keys.peer,
      logger: this.#core.logger,
      traffic: this.#assembly.traffic,
    });
  }

  /** Sets what happens when peers have declared this process dead. */
  observeLoss(onLost: () => void): void {
    this.#onLost = onLost;
  }

  /** Listens, joins the view and starts every task. Rejects when an address is in use. */
  async start(): Promise<EntryPorts> {
    const { listen } = this.#settings;
    const { dispatcher, metrics, logger, current } = this.#core;
    metrics.registerProcessMetrics();
    dispatcher.start();
    current.observe((view) => {
      this.#relay.setEntryCount(listIncarnations(view).length);
    });
    const peerAddress = parseAddress(listen.peer);
    const peer = await this.#peerServer.listen(peerAddress.host, peerAddress.port);
    const operatorAddress = parseAddress(listen.operator);
    const operator = await this.#operators.listen(operatorAddress.host, operatorAddress.port);
    const callerAddress = parseAddress(listen.caller);
    const caller = await this.#callers.listen(callerAddress.host, callerAddress.port);
    this.#startTasks(
      this.#settings.advertise?.peer ?? formatAddress({ host: peerAddress.host, port: peer }),
    );
    logger.writeInfo('listening', { caller, operator, peer });
    return { caller, operator, peer };
  }

  /**
   * Stops as planned: fails the health check, serves on until the balancer has noticed, finishes
   * what was accepted, gives permits and seat up, and closes.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { clock, dispatcher, logger } = this.#core;
    logger.writeInfo('stopping');
    await clock.wait(clock.now + this.#settings.timing.balancerNoticeMs);
    this.#callers.drain();
    await new Promise<void>((resolve) => {
      dispatcher.post({ kind: MessageKind.Drain, resolve });
    });
    this.#callers.close();
    await this.#handOver();
    this.close();
    logger.writeInfo('stopped');
  }

  /** Closes everything at once, as a crash would. */
  close(): void {
    this.#isStopping = true;
    for (const job of this.#jobs) job.stop();
    this.#callers.close();
    this.#operators.close();
    this.#peerServer.close();
    this.#core.peers.close();
    this.#relay.close();
    this.#core.dispatcher.stop();
  }

  #startTasks(peerAddress: string): void {
    const core = this.#core;
    const { timing, entry } = this.#settings;
    const seats = new SeatKeeper(core, {
      name: entry.name,
      address: peerAddress,
      dataCentre: entry.dataCentre,
      incarnation: core.current.incarnation,
    });
    this.#seats = seats;
    const heartbeat = new Heartbeat(core);
    const settlement = new SettlementTask(core);
    const follower = new TableFollower(core, seats, () => {
      this.#onLost();
    });
    this.#run(timing.pollMs, async () => follower.run());
    this.#run(timing.heartbeatMs, async () => heartbeat.run());
    this.#run(periods.JOIN_PERIOD_MS, async () => this.#join(seats));
    this.#run(periods.LEASE_PERIOD_MS, async () => seats.renewLease());
    this.#run(periods.DECLARE_PERIOD_MS, async () => seats.declareLost());
    this.#run(periods.SETTLEMENT_PERIOD_MS, async () => settlement.run());
    this.#post(periods.SWEEP_PERIOD_MS, { kind: MessageKind.Sweep });
    this.#post(periods.REFRESH_PERIOD_MS, { kind: MessageKind.Refresh });
  }

  #post(periodMs: number, message: DispatcherMessage): void {
    this.#run(periodMs, async () => {
      this.#core.dispatcher.post(message);
      return Promise.resolve();
    });
  }

  #run(periodMs: number, run: () => Promise<void>): void {
    const { clock, logger } = this.#core;
    const job = new PeriodicRunner({
      clock,
      periodMs,
      run: async () => {
        try {
          await run();
        } catch (error) {
          const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
          logger.writeError('task failed', { reason });
        }
      },
    });
    this.#jobs.push(job);
    job.start();
  }

  async #join(seats: SeatKeeper): Promise<void> {
    const { current, gate, clock } = this.#core;
    if (current.isSeated || this.#isStopping || gate.isClosed) return;
    if (!(await seats.join())) await clock.wait(seats.computeRetryAt());
  }

  /** Gives all permits to the first other member and then the seat back, within bounded time. */
  async #handOver(): Promise<void> {
    const { current, clock, logger } = this.#core;
    const deadline = clock.now + periods.HAND_OVER_MS;
    const heir = listIncarnations(current.view).find((member) => member !== current.incarnation);
    if (heir !== undefined) {
      await useAllowances(this.#core, (allowances) => {
        allowances.giveAll(heir);
      });
      await this.#waitUntilTaken(deadline);
    }
    while (clock.now < deadline) {
      if ((await this.#seats?.leave()) === true) return;
      await clock.wait(clock.now + periods.HAND_OVER_PERIOD_MS);
    }
    logger.writeWarning('stopped without giving the seat back; peers will declare it lost');
  }

  async #waitUntilTaken(deadline: number): Promise<void> {
    const { clock } = this.#core;
    const heartbeat = new Heartbeat(this.#core);
    while (clock.now < deadline) {
      await heartbeat.run();
      if (await useAllowances(this.#core, (allowances) => allowances.isDrained())) return;
      await clock.wait(clock.now + periods.HAND_OVER_PERIOD_MS);
    }
  }

  #createCallerListener(): CallerListener {
    const { clock, dispatcher, metrics, logger, table, rows, configuration, gate } = this.#core;
    const budgets = new Map<string, RetryBudget>();
    return new CallerListener({
      clock,
      dispatcher,
      metrics,
      logger,
      rows,
      relay: this.#relay,
      claims: new ClaimStore(table, clock),
      limits: this.#settings.limits,
      getRetryBudget: (service) => getBudget(budgets, service),
      getState: () => configuration.state,
      isFresh: () => clock.now < gate.freshUntil,
    });
  }

  #createOperatorListener(): OperatorListener {
    const core = this.#core;
    const { configuration, table, rows, views, logger, metrics, clock, gate } = core;
    const announcer = new PeerAnnouncer(core);
    const service = new OperatorService({
      configuration,
      table,
      logger,
      objects: this.#assembly.objects,
      writer: new ChangeWriter({ table, rows, views, announcer }),
      getStatus: () => describeStatus(core),
      listTeams: async () => listTeams(core),
      removeMember: async (name) => (await this.#seats?.removeByForce(name)) ?? false,
    });
    return new OperatorListener({
      service,
      metrics,
      logger,
      key: this.#settings.keys.operator,
      isHealthy: () => !this.#isStopping,
      isReady: () => !this.#isStopping && clock.now < gate.freshUntil,
    });
  }
}

function getBudget(budgets: Map<string, RetryBudget>, service: string): RetryBudget {
  const known = budgets.get(service);
  if (known !== undefined) return known;
  const created = new RetryBudget();
  budgets.set(service, created);
  return created;
}
