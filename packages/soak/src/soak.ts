import { Random } from '@currantgap/model';
import {
  createSubmissionId,
  ProxyFailure,
  StandinDeployment,
  StandinTargetFailure,
  StoreFailure,
  StoreProxy,
  type NodeProcess,
  type SubmissionResponse,
} from '@currantgap/standins';
import { setTimeout as sleep } from 'node:timers/promises';
import { findWrongAnswers, STORE, type Answer, type Disturbance } from './answers.ts';
import { ConfigurationChanges, formatChangeName } from './configuration-changes.ts';
import { findViolations, type SubmissionRecord } from './invariants.ts';
import {
  AffectedNodes,
  NodeFailure,
  PlannedChange,
  type InjectedFailure,
  type SoakPlan,
} from './plan.ts';

/** Milliseconds between submissions. */
const SUBMISSION_INTERVAL_MS = 120;
/** Milliseconds until a caller retries after a refusal or a missing response. */
const RETRY_DELAY_MS = 150;
/** Share of the submissions that are cancelled. */
const CANCEL_SHARE = 0.15;
/** Share of the callers that give up after the first refusal instead of retrying. */
const GIVE_UP_SHARE = 0.2;
/** Milliseconds after the last failure within which every accepted submission must end. */
const COMPLETION_TIMEOUT_MS = 15_000;
const POLL_MS = 100;
/** Milliseconds between the requests of all probers together. */
const PROBE_INTERVAL_MS = 20;
/** Milliseconds between SIGTERM and SIGKILL, as in the nodes' settings. */
const GRACE_MS = 6_000;
/** Milliseconds after its start within which a process may not handle SIGHUP yet. */
const STARTUP_MS = 3_000;
const TASK_CPU_MILLIS = 1_000;
/** Makes submissions as large as usual, so that reading all of them takes time on a narrow link. */
const SPEC_PADDING = 'x'.repeat(1_000);
const MINIMUM_TASK_MS = 50;
const MAXIMUM_TASK_MS = 700;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** A submission record that is updated while the soak runs. */
type MutableSubmissionRecord = {
  -readonly [Name in keyof SubmissionRecord]: SubmissionRecord[Name];
};

/** Runs one plan against real processes and then checks the invariants. */
export class Soak {
  readonly #plan: SoakPlan;
  readonly #random: Random;
  readonly #deployment: StandinDeployment;
  readonly #proxies = new Map<string, StoreProxy>();
  readonly #submissions: MutableSubmissionRecord[] = [];
  readonly #answers: Answer[] = [];
  readonly #disturbances: Disturbance[] = [];
  readonly #changes: ConfigurationChanges;
  #isDone = false;

  /** `command` is the program that runs the product, followed by its arguments. */
  constructor(plan: SoakPlan, command: readonly string[]) {
    this.#plan = plan;
    this.#random = new Random(plan.seed + 1);
    const { nodes } = plan;
    const targets = plan.targetsOpenAtMs === 0 ? plan.targets : 0;
    const openStoreProxy = async (node: string, address: string): Promise<string> => {
      const proxy = new StoreProxy(address);
      this.#proxies.set(node, proxy);
      return proxy.open();
    };
    this.#deployment = new StandinDeployment({ nodes, targets, command, openStoreProxy });
    this.#changes = new ConfigurationChanges(this.#deployment);
  }

  /** Runs the plan; returns a line per violated invariant and the count of accepted submissions. */
  async run(): Promise<{ violations: string[]; acceptedCount: number; logDirectory: string }> {
    try {
      await this.#deployment.start();
      for (const proxy of this.#proxies.values()) proxy.bytesPerSecond = this.#plan.bytesPerSecond;
      const probers = this.#deployment.nodes.map(async (node) => this.#runProber(node));
      const failures = this.#plan.failures.map(async (failure) => this.#injectFailure(failure));
      await Promise.all([this.#runCallers(), this.#openLateTargets(), ...failures]);
      await this.#waitForCompletion();
      this.#isDone = true;
      await Promise.all(probers);
      const acceptedCount = this.#submissions.filter(({ isRefused }) => !isRefused).length;
      const logDirectory = this.#deployment.directory;
      return { violations: this.#findViolations(), acceptedCount, logDirectory };
    } finally {
      await this.#deployment.close();
      for (const proxy of this.#proxies.values()) proxy.close();
    }
  }

  #findViolations(): string[] {
    const { nodes, runHistory } = this.#deployment;
    const submissions: readonly SubmissionRecord[] = this.#submissions;
    const observations = { submissions, runHistory, disturbances: this.#disturbances };
    const ended = nodes.filter(({ isRunning }) => !isRunning);
    return [
      ...ended.map(({ options }) => `${options.name} ended by itself`),
      ...findViolations(submissions, runHistory),
      ...findWrongAnswers(this.#answers, observations),
    ];
  }

  async #openLateTargets(): Promise<void> {
    if (this.#plan.targetsOpenAtMs === 0) return;
    await sleep(this.#plan.targetsOpenAtMs);
    await this.#deployment.openTargets(this.#plan.targets);
  }

  /** Sends counts and requests for states to one node on open connections while it runs. */
  async #runProber(node: NodeProcess): Promise<void> {
    for (let count = 0; !this.#isDone; count += 1) {
      await sleep(PROBE_INTERVAL_MS * this.#plan.nodes);
      if (!node.isRunning) continue;
      const known = this.#submissions[Math.floor(Math.random() * this.#submissions.length)];
      const id = count % 2 === 0 && known !== undefined ? known.id : createSubmissionId();
      const change = Math.floor(Math.random() * (this.#changes.count + 1));
      await this.#ask(node, id, async () => this.#deployment.getSubmission(node, id));
      await this.#ask(node, '', async () => this.#deployment.countWaiting(node));
      const name = formatChangeName(change);
      await this.#ask(node, '', async () => this.#deployment.countWaiting(node, name), change);
    }
  }

  /** Sends one request and records the answer. */
  async #ask(
    node: NodeProcess,
    id: string,
    send: () => Promise<SubmissionResponse>,
    change?: number,
  ): Promise<SubmissionResponse> {
    const startedAt = performance.now();
    const response = await send();
    const endedAt = performance.now();
    const isConfigured = change === undefined || this.#changes.isConfigured(change, startedAt);
    const { name } = node.options;
    this.#answers.push({ node: name, id, change, startedAt, endedAt, isConfigured, response });
    return response;
  }

  async #runCallers(): Promise<void> {
    const endsAt = performance.now() + this.#plan.submissionPeriodMs;
    const callers: Promise<void>[] = [];
    while (performance.now() < endsAt) {
      callers.push(this.#runCaller());
      await sleep(SUBMISSION_INTERVAL_MS);
    }
    await Promise.all(callers);
  }

  /** Retries one submission at random nodes until it is accepted or the caller gives up. */
  async #runCaller(): Promise<void> {
    const taskCounts = Array.from({ length: 1 + this.#random.drawInteger(2) }, () =>
      this.#drawTaskCount(),
    );
    const taskMs = MINIMUM_TASK_MS + this.#random.drawInteger(MAXIMUM_TASK_MS - MINIMUM_TASK_MS);
    const shouldRetryAfterRefusal = this.#random.drawFraction() >= GIVE_UP_SHARE;
    const shouldCancel = this.#random.drawFraction() < CANCEL_SHARE;
    const id = createSubmissionId();
    const submission: MutableSubmissionRecord = {
      id,
      taskCounts,
      isRefused: false,
      acceptedAt: undefined,
      cancelSentAt: undefined,
      cancelledAt: undefined,
      state: undefined,
    };
    this.#submissions.push(submission);
    let isUncertain = false;
    for (;;) {
      const taskSpec = { cpu: TASK_CPU_MILLIS, ms: taskMs, padding: SPEC_PADDING };
      const node = this.#chooseNode();
      const { status } = await this.#ask(node, id, async () =>
        this.#deployment.submit(node, id, taskCounts, taskSpec),
      );
      if (status === HTTP_OK) break;
      // Only a refusal guarantees that the submission never runs. After any other result it may
      // have been accepted, so the caller keeps retrying and does not record it as refused.
      isUncertain ||= status !== HTTP_UNAVAILABLE;
      if (!shouldRetryAfterRefusal && !isUncertain) {
        submission.isRefused = true;
        return;
      }
      await sleep(RETRY_DELAY_MS);
    }
    submission.acceptedAt = performance.now();
    if (shouldCancel) await this.#cancel(submission);
  }

  async #cancel(submission: MutableSubmissionRecord): Promise<void> {
    submission.cancelSentAt = performance.now();
    for (;;) {
      const node = this.#chooseNode();
      const { status } = await this.#ask(node, submission.id, async () =>
        this.#deployment.cancel(node, submission.id),
      );
      if (status === HTTP_OK) break;
      await sleep(RETRY_DELAY_MS);
    }
    submission.cancelledAt = performance.now();
  }

  async #injectFailure(failure: InjectedFailure): Promise<void> {
    await sleep(failure.startOffsetMs);
    for (let repeat = 0; repeat < failure.repeats; repeat += 1) await this.#injectOnce(failure);
  }

  async #injectOnce(failure: InjectedFailure): Promise<void> {
    if (failure.component === 'change') {
      if (failure.kind === PlannedChange.Configuration) await this.#changes.add();
      else this.#deployment.storeServer.store.dropHistory();
      await sleep(failure.durationMs);
    } else if (failure.component === 'store')
      await this.#record(STORE, failure.kind, async () =>
        this.#injectStoreFailure(failure.kind, failure.durationMs),
      );
    else if (failure.component === 'target') await this.#injectTargetFailure(failure);
    else {
      const nodes = this.#listAffectedNodes(failure.affectedNodes);
      const { kind, durationMs } = failure;
      const injections = nodes.map(async (node) => {
        const inject = async (): Promise<void> => this.#injectNodeFailure(node, kind, durationMs);
        // A signal to change the settings is no disturbance.
        if (kind === NodeFailure.Hangup) await inject();
        else await this.#record(node.options.name, kind, inject);
      });
      await Promise.all(injections);
    }
  }

  async #record(
    subject: string,
    kind: Disturbance['kind'],
    operate: () => Promise<void>,
  ): Promise<void> {
    const disturbance = { subject, kind, startedAt: performance.now(), endedAt: Infinity };
    this.#disturbances.push(disturbance);
    await operate();
    disturbance.endedAt = performance.now();
  }

  async #injectStoreFailure(kind: StoreFailure, durationMs: number): Promise<void> {
    const { store } = this.#deployment.storeServer;
    store.failure = kind;
    await sleep(durationMs);
    store.failure = StoreFailure.None;
    store.applyLateTransactions();
  }

  async #injectTargetFailure(failure: InjectedFailure & { component: 'target' }): Promise<void> {
    const target = this.#deployment.targets[failure.index];
    if (target === undefined) return;
    target.failure = failure.kind;
    await sleep(failure.durationMs);
    target.failure = StandinTargetFailure.None;
  }

  async #injectNodeFailure(
    node: NodeProcess,
    kind: NodeFailure,
    durationMs: number,
  ): Promise<void> {
    const proxy = this.#proxies.get(node.options.name);
    switch (kind) {
      case NodeFailure.Kill:
        await node.kill();
        await sleep(durationMs);
        node.start();
        return;
      case NodeFailure.Stop:
        await node.stop(GRACE_MS);
        node.start();
        return;
      case NodeFailure.Hangup:
        node.changeSettings();
        // A process that is starting does not handle the signal yet.
        if (performance.now() > node.startedAt + STARTUP_MS) node.sendSignal('SIGHUP');
        return;
      case NodeFailure.Pause:
        node.sendSignal('SIGSTOP');
        await sleep(durationMs);
        node.sendSignal('SIGCONT');
        return;
      case NodeFailure.Reset:
        proxy?.reset();
        return;
      case NodeFailure.Partition:
      case NodeFailure.ResponseLoss:
        if (proxy === undefined) return;
        proxy.failure =
          kind === NodeFailure.Partition ? ProxyFailure.Partition : ProxyFailure.ResponseLoss;
        await sleep(durationMs);
        proxy.failure = ProxyFailure.None;
        // The proxy does not resend dropped bytes, so connections that lost some are unusable.
        proxy.reset();
    }
  }

  #listAffectedNodes(affectedNodes: AffectedNodes): readonly NodeProcess[] {
    const { nodes } = this.#deployment;
    if (affectedNodes === AffectedNodes.All) return nodes;
    const owner = this.#deployment.findOwner();
    if (affectedNodes === AffectedNodes.Owner) return owner === undefined ? [] : [owner];
    const others = nodes.filter((node) => node !== owner);
    const other = others[this.#random.drawInteger(Math.max(1, others.length))];
    return other === undefined ? [] : [other];
  }

  /** Waits until every submission that was not refused has ended, or until the timeout. */
  async #waitForCompletion(): Promise<void> {
    const endsAt = performance.now() + COMPLETION_TIMEOUT_MS;
    const isUnfinished = ({ isRefused, state }: MutableSubmissionRecord): boolean =>
      !isRefused && (state === undefined || state === 'pending' || state === 'running');
    while (performance.now() < endsAt) {
      const unfinished = this.#submissions.filter(isUnfinished);
      if (unfinished.length === 0) return;
      for (const submission of unfinished) {
        const node = this.#chooseNode();
        const { status, state } = await this.#ask(node, submission.id, async () =>
          this.#deployment.getSubmission(node, submission.id),
        );
        if (status === HTTP_OK) submission.state = state;
      }
      await sleep(POLL_MS);
    }
  }

  #chooseNode(): NodeProcess {
    const { nodes } = this.#deployment;
    const running = nodes.filter(({ isRunning }) => isRunning);
    const candidates = running.length > 0 ? running : nodes;
    const node = candidates[Math.floor(Math.random() * candidates.length)];
    if (node === undefined) throw new RangeError('the deployment has no nodes');
    return node;
  }

  #drawTaskCount(): number {
    return 1 + this.#random.drawInteger(3);
  }
}
