import { EvidenceHolder } from '@currantgap/admission';
import { NORMAL_LEASE_MS, Owner } from '@currantgap/execution';
import { acceptForwarder, Forwarder, ForwarderPool } from '@currantgap/forwarding';
import { IngressHandler, StoreProbe } from '@currantgap/ingress';
import { describeError, Feature } from '@currantgap/model';
import {
  computeTakeOverDelay,
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
import { PageSizer } from '@currantgap/store';
import { BootClock, SystemClock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { AdmissionRelay } from './admission-relay.ts';
import { HttpListeners } from './http-listeners.ts';
import { NodeConfiguration } from './node-configuration.ts';
import { NodeMetrics } from './node-metrics.ts';
import { OperatorFeedConsumer } from './operator-feed-consumer.ts';
import { handlePeerCall, OwnerClient } from './peer.ts';
import type { SettingsFile } from './settings-file.ts';

/** Maximum connections to the store: four change feeds and concurrent calls. */
const STORE_CONNECTIONS = 48;
/** Maximum connections for the lease: one for the change feed and overlapping renewals. */
const LEASE_CONNECTIONS = 6;
/**
 * Maximum connections to one target: one for the lease renewal in flight and a few for concurrent
 * orders, since each new connection has a cost.
 */
const TARGET_CONNECTIONS = 5;
/**
 * Milliseconds for which the node serves after SIGTERM. The load balancer checks readiness every
 * second and takes a node out after two failed checks.
 */
const DEREGISTRATION_MS = 2_800;
/** Milliseconds for which a hand-over waits for the pending progress to be written. */
const MAXIMUM_FLUSH_MS = 150;
/** Milliseconds before the platform's SIGKILL at which the process ends despite calls in flight. */
const GRACE_MARGIN_MS = 700;
/** Milliseconds between checks for calls in flight during shutdown. */
const DRAIN_POLL_MS = 50;
/** Milliseconds that an idle client connection stays open: longer than any client's own limit. */
const KEEP_ALIVE_MS = 60_000;

/** Report of a term whose owner has not been created yet. */
const UNSETTLED_TERM: TermReport = {
  isSettled: false,
  successors: [],
  targetLeaseMs: NORMAL_LEASE_MS,
};

/** One process: serves the API to clients and contends for the ownership of the fleet. */
export class Node extends OwnershipListener {
  readonly #settings: SettingsFile;
  readonly #logger: Logger;
  readonly #metrics = new NodeMetrics();
  readonly #httpClient = new HttpClient(STORE_CONNECTIONS);
  /** Clock by which calls to targets expire. */
  readonly #bootClock = new BootClock();
  readonly #targetHttpClient = new HttpClient(TARGET_CONNECTIONS, this.#bootClock);
  /** Connections of their own, so that lease renewals wait for no other call. */
  readonly #leaseHttpClient = new HttpClient(LEASE_CONNECTIONS);
  readonly #store: HttpStore;
  /** Unanswered calls through it do not lengthen the timeouts of other calls. */
  readonly #probeStore: HttpStore;
  readonly #pageSizer: PageSizer;
  readonly #operatorFeed: OperatorFeedConsumer;
  readonly #configuration: NodeConfiguration;
  /** What the owner has last told about contention. */
  readonly #evidence = new EvidenceHolder();
  readonly #ingress: IngressHandler;
  readonly #ownership: Ownership;
  readonly #forwarder: Forwarder;
  readonly #listeners = new HttpListeners();
  /** Identifies this lifetime of the process. */
  readonly #incarnation = randomBytes(8).toString('hex');
  #owner: Owner | undefined;
  /** Forwarders of the owner in this process. */
  #forwarderPool: ForwarderPool | undefined;
  #isStopping = false;

  constructor(settings: SettingsFile, logger: Logger) {
    super();
    this.#settings = settings;
    this.#logger = logger;
    this.#store = new HttpStore(
      () => settings.current.storeAddress,
      this.#httpClient,
      undefined,
      () => settings.current.storeRowBytes,
    );
    this.#probeStore = new HttpStore(() => settings.current.storeAddress, this.#httpClient);
    this.#pageSizer = new PageSizer(settings.current.linkMbps);
    this.#operatorFeed = new OperatorFeedConsumer(this.#store, this.#pageSizer, logger, () => {
      this.#owner?.post({ kind: 'configured' });
    });
    this.#configuration = new NodeConfiguration({
      feed: this.#operatorFeed,
      store: this.#probeStore,
      getBounds: () => settings.current.bounds,
    });
    this.#ownership = this.#createOwnership(settings.current);
    this.#forwarder = this.#createForwarder(settings.current);
    this.#ingress = this.#createIngress();
    this.#metrics.registerConfiguration(() => this.#operatorFeed);
    this.#metrics.registerOwner(() => this.#owner);
  }

  /** Starts all listeners and contends for ownership. Rejects if an address cannot be bound. */
  async start(): Promise<void> {
    const { callerEndpoint, readinessEndpoint, peerEndpoint, metricsEndpoint, node, dataCentre } =
      this.#settings.current;
    const callerServer = await this.#listeners.listen(callerEndpoint, (request, response) => {
      this.#ingress.handle(request, response).catch((error: unknown) => {
        this.#logger.writeError('call failed', { reason: describeError(error) });
        response.destroy();
      });
    });
    callerServer.keepAliveTimeout = KEEP_ALIVE_MS;
    await this.#listeners.listen(readinessEndpoint, (_, response) => {
      const isReady = !this.#isStopping && this.#ingress.canAccept;
      response.writeHead(isReady ? 200 : 503, { 'content-length': 0 }).end();
    });
    const peerServer = await this.#listeners.listen(peerEndpoint, (request, response) => {
      handlePeerCall(request, response, this.#owner);
    });
    peerServer.on('upgrade', (request, socket, head) => {
      const acceptor = this.#forwarderPool;
      acceptForwarder({ request, socket, head, acceptor }, this.#logger);
    });
    await this.#listeners.listen(metricsEndpoint, (_, response) => {
      void this.#metrics.registry.metrics().then((text) => {
        response.writeHead(200, { 'content-type': this.#metrics.registry.contentType }).end(text);
      });
    });
    this.#logger.writeInfo('node started', { node, dataCentre });
    void this.#operatorFeed.run();
    void this.#ownership.run();
    this.#forwarder.start();
  }

  /**
   * Shuts down: hands ownership over, serves until the load balancer has taken this node out, waits
   * for calls in flight within the grace period and closes.
   */
  async stop(): Promise<void> {
    if (this.#isStopping) return;
    this.#isStopping = true;
    this.#ingress.stop();
    this.#forwarder.stop();
    const { graceMs } = this.#settings.current.bounds;
    const deadline = performance.now() + graceMs - GRACE_MARGIN_MS;
    this.#logger.writeInfo('node stopping', { isOwner: this.#owner !== undefined });
    const handOver = this.#owner?.beginHandOver();
    await Promise.race([handOver, sleep(MAXIMUM_FLUSH_MS)]);
    await this.#ownership.release();
    this.#forwarderPool?.announceRelease();
    await sleep(DEREGISTRATION_MS);
    this.#closeOwner();
    while (this.#ingress.inFlight > 0 && performance.now() < deadline) await sleep(DRAIN_POLL_MS);
    this.close();
    this.#logger.writeInfo('node stopped', { cutOff: this.#ingress.inFlight });
  }

  /** Closes all listeners and connections at once, without waiting for calls in flight. */
  close(): void {
    this.#operatorFeed.stop();
    this.#ingress.close();
    this.#settings.stop();
    this.#listeners.close();
    this.#httpClient.close();
    this.#targetHttpClient.close();
    this.#leaseHttpClient.close();
  }

  override handleTaken(term: Term): void {
    const { bounds, dataCentre, disabledFeatures } = this.#settings.current;
    this.#metrics.isOwner.set(1);
    this.#metrics.takeOvers.inc();
    const pool = new ForwarderPool({
      epoch: term.epoch,
      local: new HttpTargets(this.#targetHttpClient),
      clock: this.#bootClock,
      dataCentre,
      logger: this.#logger,
    });
    this.#forwarderPool = pool;
    const owner = new Owner({
      term,
      bounds: { ...bounds, disabledFeatures },
      store: this.#store,
      pageSizer: this.#pageSizer,
      clock: new SystemClock(),
      logger: this.#logger,
      targetPort: pool,
      listSuccessors: () => pool.listSuccessors(),
      registry: { table: TARGET_TABLE, decode: decodeTargetEntry },
      getOperatorView: () => this.#operatorFeed.view,
      vmPort: this.#createVmPort(),
      advicePort: this.#createAdvicePort(),
      admissionPort: disabledFeatures.has(Feature.Admission)
        ? undefined
        : new AdmissionRelay(pool, this.#evidence, this.#metrics),
      hasFreshLease: () => this.#ownership.isLeaseFresh,
      hasValidLease: () => this.#isStopping || this.#ownership.isLeaseValid,
      encodeWaveStatus: (wave, isComplete) => ({
        table: STATUS_TABLE,
        ...encodeWaveStatus(wave, isComplete),
      }),
      observeDuration: (route, ratio) => {
        this.#metrics.durationRatio.observe({ route }, ratio);
      },
      onCopy: (outcome) => {
        this.#metrics.copies.inc({ outcome });
      },
      onDeposed: (reason) => {
        if (this.#isStopping) this.#closeOwner();
        else this.#ownership.endTerm(reason);
      },
    });
    this.#owner = owner;
    owner.open();
  }

  override handleLost(reason: string): void {
    this.#metrics.isOwner.set(0);
    this.#logger.writeWarning('ownership lost', { reason });
    // While this node is stopping, the owner renews leases until a successor has taken over.
    if (!this.#isStopping) this.#closeOwner();
  }

  override describeTerm(): TermReport {
    return this.#owner?.describeTerm() ?? UNSETTLED_TERM;
  }

  override handleRenewed(report: TermReport, version: number, latencyMs: number): void {
    this.#owner?.recordRenewal(report, version, latencyMs);
  }

  #closeOwner(): void {
    this.#owner?.close();
    this.#owner = undefined;
    this.#forwarderPool?.close();
    this.#forwarderPool = undefined;
    this.#metrics.backlogCores.reset();
    this.#metrics.startSeconds.reset();
  }

  #createVmPort(): HttpVms | undefined {
    const { vmServiceAddress, node } = this.#settings.current;
    if (vmServiceAddress === undefined) return undefined;
    return new HttpVms({ address: vmServiceAddress, client: this.#httpClient, holder: node });
  }

  #createAdvicePort(): HttpAdvice | undefined {
    const { adviceAddress } = this.#settings.current;
    return adviceAddress === undefined
      ? undefined
      : new HttpAdvice(adviceAddress, this.#httpClient);
  }

  #createOwnership(settings: NodeSettings): Ownership {
    const { host, port } = settings.peerEndpoint;
    return new Ownership({
      // The lease feed answers about once a second, so that versions are seen soon.
      store: new HttpStore(
        () => this.#settings.current.storeAddress,
        this.#leaseHttpClient,
        this.#store.seenVersions,
      ),
      logger: this.#logger,
      node: settings.node,
      incarnation: this.#incarnation,
      address: `${host}:${port}`,
      takeOverDelayMs: computeTakeOverDelay(settings, Math.random()),
      isConnectedTo: (epoch) => this.#forwarder.isConnectedTo(epoch),
      listener: this,
    });
  }

  #createForwarder({ node, dataCentre, cores, linkMbps }: NodeSettings): Forwarder {
    return new Forwarder({
      targetPort: new HttpTargets(this.#targetHttpClient),
      clock: this.#bootClock,
      logger: this.#logger,
      info: { node, dataCentre, cores, linkMbps },
      findOwner: () => {
        const { lease } = this.#ownership;
        if (lease === undefined || lease.isReleased) return undefined;
        if (lease.incarnation === this.#incarnation) return undefined;
        return { address: lease.address, epoch: lease.epoch };
      },
      onEvidence: (evidence) => {
        this.#evidence.accept(evidence, performance.now());
      },
      onOwnerLeaving: () => {
        this.#ownership.endPause();
      },
    });
  }

  #createIngress(): IngressHandler {
    const owner = new OwnerClient(
      this.#httpClient,
      () => ({
        // An owner that is handing over no longer knows what its successor does.
        local: this.#ownership.term === undefined ? undefined : this.#owner,
        address: this.#ownership.lease?.address,
      }),
      () => {
        this.#ownership.endPause();
      },
    );
    return new IngressHandler({
      store: this.#store,
      probe: new StoreProbe(this.#probeStore, this.#settings.current.node),
      logger: this.#logger,
      owner,
      observer: this.#metrics,
      configuration: this.#configuration,
      evidence: this.#evidence,
      decodeSubmission,
      deadlineHeader: DEADLINE_HEADER,
    });
  }
}
