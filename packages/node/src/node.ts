import { Owner } from '@currantgap/execution';
import { IngressHandler } from '@currantgap/ingress';
import { describeError } from '@currantgap/model';
import {
  computePatience,
  Ownership,
  OwnershipListener,
  type Term,
  type TermReport,
} from '@currantgap/ownership';
import {
  DEADLINE_HEADER,
  decodeSubmission,
  decodeTargetEntry,
  encodeWaveStatus,
  HttpAdvice,
  HttpClient,
  HttpStore,
  HttpTargets,
  HttpVms,
  STATUS_TABLE,
  TARGET_TABLE,
  type NodeSettings,
} from '@currantgap/platform-adapter';
import { listenOn, SystemClock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import { randomBytes } from 'node:crypto';
import { createServer, type RequestListener, type Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { NodeMetrics } from './node-metrics.ts';
import { OperatorFollower } from './operator-follower.ts';
import { handlePeerCall, PeerOwner } from './peer.ts';
import type { SettingsFile } from './settings-file.ts';

/** Connections to the store: four feeds, and calls side by side. */
const STORE_CONNECTIONS = 48;
/** Connections to one target: its hold, and few orders side by side, since new ones are paid for. */
const TARGET_CONNECTIONS = 5;
/** Milliseconds of service after SIGTERM: the balancer looks each second and needs two misses. */
const DEPARTURE_MS = 2_800;
/** Milliseconds before the platform's SIGKILL at which the process ends in any case. */
const GRACE_MARGIN_MS = 700;
const DRAIN_LOOK_MS = 50;
/** Milliseconds that an idle connection of a caller is kept: beyond any caller's own limit. */
const KEEP_ALIVE_MS = 60_000;
const HEADER_TIMEOUT_MS = 10_000;
const MAXIMUM_HEADER_BYTES = 65_536;

/** One process: a front for callers, and a contender for the ownership of the fleet. */
export class Node extends OwnershipListener {
  readonly #settings: SettingsFile;
  readonly #logger: Logger;
  readonly #metrics = new NodeMetrics();
  readonly #caller = new HttpClient(STORE_CONNECTIONS);
  readonly #targetCaller = new HttpClient(TARGET_CONNECTIONS);
  readonly #store: HttpStore;
  readonly #operators: OperatorFollower;
  readonly #front: IngressHandler;
  readonly #ownership: Ownership;
  readonly #servers: Server[] = [];
  #owner: Owner | undefined;
  #isStopping = false;

  constructor(settings: SettingsFile, logger: Logger) {
    super();
    this.#settings = settings;
    this.#logger = logger;
    this.#store = new HttpStore(() => settings.current.storeAddress, this.#caller);
    this.#operators = new OperatorFollower(this.#store, logger, () => {
      this.#owner?.post({ kind: 'configured' });
    });
    this.#ownership = this.#createOwnership(settings.current);
    this.#front = this.#createFront();
  }

  /** Serves until it is stopped. Rejects when an address cannot be bound. */
  async start(): Promise<void> {
    const { callerEndpoint, readinessEndpoint, peerEndpoint, metricsEndpoint, node, dataCentre } =
      this.#settings.current;
    const front = await this.#listen(callerEndpoint, (request, response) => {
      this.#front.handle(request, response).catch((error: unknown) => {
        this.#logger.writeError('call failed', { reason: describeError(error) });
        response.destroy();
      });
    });
    front.keepAliveTimeout = KEEP_ALIVE_MS;
    await this.#listen(readinessEndpoint, (_, response) => {
      response.writeHead(this.#isReady() ? 200 : 503, { 'content-length': 0 }).end();
    });
    await this.#listen(peerEndpoint, (request, response) => {
      handlePeerCall(request, response, this.#owner);
    });
    await this.#listen(metricsEndpoint, (_, response) => {
      void this.#metrics.registry.metrics().then((text) => {
        response.writeHead(200, { 'content-type': this.#metrics.registry.contentType }).end(text);
      });
    });
    this.#logger.writeInfo('node started', { node, dataCentre });
    void this.#operators.run();
    void this.#ownership.run();
  }

  /** Hands over, serves on until callers have been led elsewhere, and ends. */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#front.stop();
    const { graceMs } = this.#settings.current.bounds;
    const end = performance.now() + graceMs - GRACE_MARGIN_MS;
    this.#logger.writeInfo('node stopping', { isOwner: this.#owner !== undefined });
    const owner = this.#owner;
    if (owner !== undefined) await owner.close(true);
    await this.#ownership.release(undefined);
    this.#owner = undefined;
    await sleep(DEPARTURE_MS);
    while (this.#front.inFlight > 0 && performance.now() < end) await sleep(DRAIN_LOOK_MS);
    this.close();
    this.#logger.writeInfo('node stopped', { cutOff: this.#front.inFlight });
  }

  /** Closes all sockets at once. */
  close(): void {
    this.#operators.stop();
    this.#settings.stop();
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
    this.#caller.close();
    this.#targetCaller.close();
  }

  override handleTaken(term: Term): void {
    const { bounds } = this.#settings.current;
    this.#metrics.isOwner.set(1);
    this.#metrics.takeOvers.inc();
    const owner = new Owner({
      term,
      bounds,
      store: this.#store,
      clock: new SystemClock(),
      logger: this.#logger,
      targetPort: new HttpTargets(this.#targetCaller),
      registry: { table: TARGET_TABLE, decode: decodeTargetEntry },
      getOperatorView: () => this.#operators.view,
      vmPort: this.#createVmPort(),
      advicePort: this.#createAdvicePort(),
      isCertain: () => this.#ownership.isFresh,
      isConfirmed: () => this.#ownership.isConfirmed,
      encodeWaveStatus: (wave, isComplete) => ({
        table: STATUS_TABLE,
        ...encodeWaveStatus(wave, isComplete),
      }),
      onDeposed: (reason) => {
        this.#ownership.drop(reason);
      },
    });
    this.#owner = owner;
    void owner.open();
  }

  override handleLost(reason: string): void {
    this.#metrics.isOwner.set(0);
    this.#logger.writeWarning('ownership lost', { reason });
    if (this.#isStopping) return;
    void this.#owner?.close(false);
    this.#owner = undefined;
  }

  override describeTerm(): TermReport {
    return this.#owner?.describeTerm() ?? { targets: [], vmOrderAgeMs: undefined };
  }

  override handleRenewed(report: TermReport): void {
    this.#owner?.handleRenewed(report);
  }

  #createVmPort(): HttpVms | undefined {
    const { vmServiceAddress, node } = this.#settings.current;
    if (vmServiceAddress === undefined) return undefined;
    return new HttpVms({ address: vmServiceAddress, client: this.#caller, holder: node });
  }

  #createAdvicePort(): HttpAdvice | undefined {
    const { adviceAddress } = this.#settings.current;
    return adviceAddress === undefined ? undefined : new HttpAdvice(adviceAddress, this.#caller);
  }

  #isReady(): boolean {
    if (this.#isStopping || this.#operators.routes === undefined) return false;
    return this.#front.isStoreReachable;
  }

  #createOwnership(settings: NodeSettings): Ownership {
    const { host, port } = settings.peerEndpoint;
    return new Ownership({
      store: this.#store,
      logger: this.#logger,
      node: settings.node,
      incarnation: randomBytes(8).toString('hex'),
      address: `${host}:${port}`,
      patienceMs: computePatience(settings.cores, Math.random()),
      listener: this,
    });
  }

  #createFront(): IngressHandler {
    const owner = new PeerOwner(this.#caller, () => ({
      local: this.#owner,
      address: this.#ownership.lease?.address,
    }));
    return new IngressHandler({
      store: this.#store,
      logger: this.#logger,
      owner,
      observer: this.#metrics,
      getRoutes: () => this.#operators.routes,
      decodeSubmission,
      deadlineHeader: DEADLINE_HEADER,
    });
  }

  async #listen(
    endpoint: { host: string; port: number },
    handle: RequestListener,
  ): Promise<Server> {
    const server = createServer(
      { maxHeaderSize: MAXIMUM_HEADER_BYTES, headersTimeout: HEADER_TIMEOUT_MS },
      handle,
    );
    this.#servers.push(server);
    await listenOn(server, endpoint.host, endpoint.port);
    return server;
  }
}
