import { Random } from '@currantgap/model';
import {
  createSubmissionId,
  StandinDeployment,
  StoreProxy,
  type NodeProcess,
  type StandinTaskSpec,
  type SubmissionResponse,
} from '@currantgap/standins';
import { setTimeout as sleep } from 'node:timers/promises';
import { findWrongAnswers, type Answer } from './answers.ts';
import { ConfigurationChanges, formatChangeName } from './configuration-changes.ts';
import { FailureInjector } from './failure-injector.ts';
import {
  findIdleTasks,
  findLastAcceptance,
  findViolations,
  FIRST_RUN_MS,
  RESTART_MS,
  type SubmissionRecord,
} from './invariants.ts';
import type { SoakPlan } from './plan.ts';

/** Milliseconds between submissions. */
const SUBMISSION_INTERVAL_MS = 120;
/** Milliseconds until a caller retries after a refusal or a missing response. */
const RETRY_DELAY_MS = 150;
/** Share of the submissions that are cancelled. */
const CANCEL_SHARE = 0.15;
/** Share of the callers that give up after the first refusal instead of retrying. */
const GIVE_UP_SHARE = 0.2;
const POLL_MS = 100;
/** Milliseconds between the requests of all probers together. */
const PROBE_INTERVAL_MS = 20;
/** Makes submissions as large as usual, so that reading all of them takes time on a narrow link. */
const SPEC_PADDING = 'x'.repeat(1_000);
/** Tasks of a persistent submission; they leave most of a target to the others. */
const PERSISTENT_TASKS = 3;
const PERSISTENT_SPEC = { cpu: 40, ms: 0, isPersistent: true };
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
  readonly #changes: ConfigurationChanges;
  readonly #injector: FailureInjector;
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
    const deployment = this.#deployment;
    this.#changes = new ConfigurationChanges(deployment);
    const subjects = { deployment, proxies: this.#proxies, changes: this.#changes };
    this.#injector = new FailureInjector(subjects, this.#random);
  }

  /** Runs the plan; returns a line per violated invariant and the count of accepted submissions. */
  async run(): Promise<{ violations: string[]; acceptedCount: number; logDirectory: string }> {
    try {
      await this.#deployment.start();
      await sleep(this.#plan.targetAgeMs);
      for (const proxy of this.#proxies.values()) proxy.bytesPerSecond = this.#plan.bytesPerSecond;
      const probers = this.#deployment.nodes.map(async (node) => this.#runProber(node));
      const failures = this.#plan.failures.map(async (failure) => this.#injector.inject(failure));
      const persistent = this.#plan.persistentOffsetsMs.map(async (offsetMs) =>
        this.#runPersistentCaller(offsetMs),
      );
      const callers = [this.#runCallers(), ...persistent];
      await Promise.all([...callers, this.#openLateTargets(), ...failures]);
      await this.#waitForCompletion();
      await this.#endPersistentSubmissions();
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
    const observations = { submissions, runHistory, disturbances: this.#injector.disturbances };
    const ended = nodes.filter(({ isRunning }) => !isRunning);
    return [
      ...ended.map(({ options }) => `${options.name} ended by itself`),
      ...findViolations(submissions, runHistory),
      ...findIdleTasks(submissions, runHistory, this.#findCalmStart()),
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
    const { minimumMs, maximumMs, cpuMillis, maximumSteps } = this.#plan.tasks;
    const taskCounts = Array.from({ length: 1 + this.#random.drawInteger(maximumSteps) }, () =>
      this.#drawTaskCount(),
    );
    const taskMs = minimumMs + this.#random.drawInteger(maximumMs - minimumMs);
    const shouldRetryAfterRefusal = this.#random.drawFraction() >= GIVE_UP_SHARE;
    const shouldCancel = this.#random.drawFraction() < CANCEL_SHARE;
    const submission = this.#addSubmission(taskCounts, false);
    const taskSpec = { cpu: cpuMillis, ms: taskMs, padding: SPEC_PADDING };
    await this.#submit(submission, taskSpec, shouldRetryAfterRefusal);
    if (shouldCancel && !submission.isRefused) await this.#cancel(submission);
  }

  async #runPersistentCaller(offsetMs: number): Promise<void> {
    await sleep(offsetMs);
    const submission = this.#addSubmission([PERSISTENT_TASKS], true);
    await this.#submit(submission, PERSISTENT_SPEC, true);
  }

  #addSubmission(taskCounts: readonly number[], isPersistent: boolean): MutableSubmissionRecord {
    const submission = {
      id: createSubmissionId(),
      taskCounts,
      isPersistent,
      isRefused: false,
      acceptedAt: undefined,
      cancelSentAt: undefined,
      cancelledAt: undefined,
      state: undefined,
    };
    this.#submissions.push(submission);
    return submission;
  }

  async #submit(
    submission: MutableSubmissionRecord,
    taskSpec: StandinTaskSpec,
    shouldRetryAfterRefusal: boolean,
  ): Promise<void> {
    const { id, taskCounts } = submission;
    let isUncertain = false;
    for (;;) {
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
  }

  /**
   * Waits until all persistent tasks are due, and some time longer for those that do not run, so that their
   * waits are measured; then cancels them.
   */
  async #endPersistentSubmissions(): Promise<void> {
    const persistent = this.#submissions.filter(({ isPersistent }) => isPersistent);
    if (persistent.length === 0) return;
    const firstDueAt = findLastAcceptance(this.#submissions) + FIRST_RUN_MS;
    const dueAt = Math.max(firstDueAt, this.#findCalmStart() + RESTART_MS);
    const endsAt = dueAt + this.#plan.completionTimeoutMs;
    const isIdle = ({ id }: SubmissionRecord): boolean => {
      const runs = this.#deployment.runHistory.listRuns(id);
      return runs.filter(({ endedAt }) => endedAt === undefined).length < PERSISTENT_TASKS;
    };
    while (performance.now() < (persistent.some(isIdle) ? endsAt : dueAt)) await sleep(POLL_MS);
    await Promise.all(persistent.map(async (submission) => this.#cancel(submission)));
  }

  /** Finds the monotonic time in milliseconds at which the last disturbance ended. */
  #findCalmStart(): number {
    return Math.max(...this.#injector.disturbances.map(({ endedAt }) => endedAt));
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

  /** Waits until every submission that was not refused has ended, or until the timeout. */
  async #waitForCompletion(): Promise<void> {
    const endsAt = performance.now() + this.#plan.completionTimeoutMs;
    const isUnfinished = ({ isPersistent, isRefused, state }: SubmissionRecord): boolean =>
      !isPersistent &&
      !isRefused &&
      (state === undefined || state === 'pending' || state === 'running');
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
