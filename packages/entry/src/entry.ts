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
import { createComponents, type EntryComponents } from './components.ts';
import { useAllowances, type EntryCore } from './core.ts';
import { Heartbeat } from './heartbeat.ts';
import { createPeerHandler } from './peer-calls.ts';
import * as periods from './periods.ts';
import { MembershipManager } from './membership-manager.ts';
import { ReclaimTask } from './reclaim-task.ts';
import { describeStatus, listTeams } from './status.ts';
import { TableFollower } from './table-follower.ts';

/** Ports on which the listeners of an entry accept connections. */
export interface EntryPorts {
  readonly caller: number;
  readonly operator: number;
  readonly peer: number;
}

/** One entry process: its listeners and periodic tasks, from start to planned stop. */
export class Entry {
  readonly #settings: EntrySettings;
  readonly #components: EntryComponents;
  readonly #core: EntryCore;
  readonly #relay: Relay;
  readonly #callerListener: CallerListener;
  readonly #operatorListener: OperatorListener;
  readonly #peerServer: PeerServer;
  readonly #periodicRunners: PeriodicRunner[] = [];
  #membership: MembershipManager | undefined;
  #isStopping = false;
  #onDeclaredDead: () => void = () => undefined;

  constructor(settings: EntrySettings) {
    this.#settings = settings;
    this.#components = createComponents(settings);
    this.#core = this.#components.core;
    this.#relay = new Relay(this.#core.clock);
    this.#callerListener = this.#createCallerListener();
    this.#operatorListener = this.#createOperatorListener();
    this.#peerServer = new PeerServer({
      handler: createPeerHandler(this.#core),
      key: settings.keys.peer,
      logger: this.#core.logger,
      traffic: this.#components.traffic,
    });
  }

  /** Sets the handler that is called once peers have declared this process dead. */
  setDeclaredDeadHandler(handler: () => void): void {
    this.#onDeclaredDead = handler;
  }

  /**
   * Starts the listeners and all periodic tasks, one of which joins the view. Rejects when an
   * address is in use.
   */
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
    const operator = await this.#operatorListener.listen(
      operatorAddress.host,
      operatorAddress.port,
    );
    const callerAddress = parseAddress(listen.caller);
    const caller = await this.#callerListener.listen(callerAddress.host, callerAddress.port);
    this.#startTasks(
      this.#settings.advertise?.peer ?? formatAddress({ host: peerAddress.host, port: peer }),
    );
    logger.writeInfo('listening', { caller, operator, peer });
    return { caller, operator, peer };
  }

  /**
   * Performs a planned stop: fails the health check, keeps serving until the load balancer has had
   * time to notice, finishes the accepted requests, hands over all permits, leaves the view and
   * closes everything.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    const { clock, dispatcher, logger } = this.#core;
    logger.writeInfo('stopping');
    await clock.wait(clock.now + this.#settings.timing.balancerNoticeMs);
    this.#callerListener.drain();
    await new Promise<void>((resolve) => {
      dispatcher.post({ kind: MessageKind.Drain, resolve });
    });
    this.#callerListener.close();
    await this.#handOver();
    this.close();
    logger.writeInfo('stopped');
  }

  /** Closes everything immediately, as a crash would, without handing over permits. */
  close(): void {
    this.#isStopping = true;
    for (const runner of this.#periodicRunners) runner.stop();
    this.#callerListener.close();
    this.#operatorListener.close();
    this.#peerServer.close();
    this.#core.peers.close();
    this.#relay.close();
    this.#core.dispatcher.stop();
  }

  #startTasks(peerAddress: string): void {
    const core = this.#core;
    const { timing, entry } = this.#settings;
    const membership = new MembershipManager(core, {
      name: entry.name,
      address: peerAddress,
      dataCentre: entry.dataCentre,
      incarnation: core.current.incarnation,
    });
    this.#membership = membership;
    const heartbeat = new Heartbeat(core);
    const reclaimTask = new ReclaimTask(core);
    const follower = new TableFollower(core, membership, () => {
      this.#onDeclaredDead();
    });
    this.#runPeriodically(timing.pollMs, async () => follower.run());
    this.#runPeriodically(timing.heartbeatMs, async () => heartbeat.run());
    this.#runPeriodically(periods.JOIN_PERIOD_MS, async () => this.#join(membership));
    this.#runPeriodically(periods.LEASE_PERIOD_MS, async () => membership.renewLease());
    this.#runPeriodically(periods.DECLARE_PERIOD_MS, async () => membership.declareDead());
    this.#runPeriodically(periods.RECLAIM_PERIOD_MS, async () => reclaimTask.run());
    this.#postPeriodically(periods.SWEEP_PERIOD_MS, { kind: MessageKind.Sweep });
    this.#postPeriodically(periods.REFRESH_PERIOD_MS, { kind: MessageKind.Refresh });
  }

  #postPeriodically(periodMs: number, message: DispatcherMessage): void {
    this.#runPeriodically(periodMs, async () => {
      this.#core.dispatcher.post(message);
      return Promise.resolve();
    });
  }

  #runPeriodically(periodMs: number, run: () => Promise<void>): void {
    const { clock, logger } = this.#core;
    const runner = new PeriodicRunner({
      clock,
      periodMs,
      run: async () => {
        try {
          await run();
        } catch (error) {
          const reason = error instanceof Error ? (error.stack ?? error.message) : String(error);
          logger.writeError('periodic task failed', { reason });
        }
      },
    });
    this.#periodicRunners.push(runner);
    runner.start();
  }

  async #join(membership: MembershipManager): Promise<void> {
    const { current, gate, clock } = this.#core;
    if (current.isMember || this.#isStopping || gate.isClosed) return;
    if (!(await membership.join())) await clock.wait(membership.computeRetryAt());
  }

  /** Transfers all permits to the first other member, then leaves the view, within a deadline. */
  async #handOver(): Promise<void> {
    const { current, clock, logger } = this.#core;
    const deadline = clock.now + periods.HAND_OVER_TIMEOUT_MS;
    const successor = listIncarnations(current.view).find(
      (member) => member !== current.incarnation,
    );
    if (successor !== undefined) {
      await useAllowances(this.#core, (allowances) => {
        allowances.giveAll(successor);
      });
      await this.#waitUntilTransferred(deadline);
    }
    while (clock.now < deadline) {
      if ((await this.#membership?.leave()) === true) return;
      await clock.wait(clock.now + periods.HAND_OVER_POLL_PERIOD_MS);
    }
    logger.writeWarning('stopped without leaving the view; peers will declare this entry dead');
  }

  async #waitUntilTransferred(deadline: number): Promise<void> {
    const { clock } = this.#core;
    const heartbeat = new Heartbeat(this.#core);
    while (clock.now < deadline) {
      await heartbeat.run();
      if (await useAllowances(this.#core, (allowances) => allowances.isDrained())) return;
      await clock.wait(clock.now + periods.HAND_OVER_POLL_PERIOD_MS);
    }
  }

  #createCallerListener(): CallerListener {
    const { clock, dispatcher, metrics, logger, table, rows, configuration, gate } = this.#core;
    const retryBudgets = new Map<string, RetryBudget>();
    return new CallerListener({
      clock,
      dispatcher,
      metrics,
      logger,
      rows,
      relay: this.#relay,
      claims: new ClaimStore(table, clock),
      limits: this.#settings.limits,
      getRetryBudget: (service) => getRetryBudget(retryBudgets, service),
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
      objects: this.#components.objects,
      writer: new ChangeWriter({ table, rows, views, announcer }),
      getStatus: () => describeStatus(core),
      listTeams: async () => listTeams(core),
      removeMember: async (name) => (await this.#membership?.removeMember(name)) ?? false,
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

function getRetryBudget(budgets: Map<string, RetryBudget>, service: string): RetryBudget {
  const existing = budgets.get(service);
  if (existing !== undefined) return existing;
  const created = new RetryBudget();
  budgets.set(service, created);
  return created;
}
