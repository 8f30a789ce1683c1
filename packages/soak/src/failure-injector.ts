import type { Random } from '@currantgap/model';
import {
  ProxyFailure,
  StandinTargetFailure,
  StoreFailure,
  type NodeProcess,
  type StandinDeployment,
  type StandinTarget,
  type StoreProxy,
} from '@currantgap/standins';
import { setTimeout as sleep } from 'node:timers/promises';
import { STORE, type Disturbance } from './answers.ts';
import type { ConfigurationChanges } from './configuration-changes.ts';
import {
  AffectedNodes,
  NodeFailure,
  PlannedChange,
  TargetReturn,
  TargetSeries,
  type InjectedFailure,
} from './plan.ts';

/** Milliseconds between SIGTERM and SIGKILL, as in the nodes' settings. */
const GRACE_MS = 6_000;
/** Milliseconds after its start within which a process may not handle SIGHUP yet. */
const STARTUP_MS = 3_000;

/** What the failures of a plan are injected into. */
export interface InjectionSubjects {
  readonly deployment: StandinDeployment;
  /** Proxies between the nodes and the store by the nodes' names. */
  readonly proxies: ReadonlyMap<string, StoreProxy>;
  readonly changes: ConfigurationChanges;
}

type TargetFailure = InjectedFailure & { component: 'target' };

/** Injects the failures of a plan and records the disturbances that they cause. */
export class FailureInjector {
  readonly disturbances: Disturbance[] = [];
  readonly #deployment: StandinDeployment;
  readonly #proxies: ReadonlyMap<string, StoreProxy>;
  readonly #changes: ConfigurationChanges;
  readonly #random: Random;

  constructor({ deployment, proxies, changes }: InjectionSubjects, random: Random) {
    this.#deployment = deployment;
    this.#proxies = proxies;
    this.#changes = changes;
    this.#random = random;
  }

  /** Waits until a failure of the plan is due and injects it. */
  async inject(failure: InjectedFailure): Promise<void> {
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
    this.disturbances.push(disturbance);
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

  async #injectTargetFailure(failure: TargetFailure): Promise<void> {
    const injections = this.#chooseTargets(failure).map(async (target) => {
      const inject = async (): Promise<void> => this.#injectIntoTarget(target, failure);
      await this.#record(target.id, failure.kind, inject);
    });
    await Promise.all(injections);
  }

  #chooseTargets(failure: TargetFailure): readonly StandinTarget[] {
    const { targets, runHistory } = this.#deployment;
    if (failure.kind === TargetSeries.CrashOfAll) return targets;
    const oldest = runHistory.runs.find(({ endedAt }) => endedAt === undefined);
    const isChosen = ({ id }: StandinTarget, index: number): boolean =>
      'index' in failure ? index === failure.index : id === oldest?.target;
    const target =
      failure.kind === TargetReturn.LateCalls ? this.#findBusiestTarget() : targets.find(isChosen);
    return target === undefined ? [] : [target];
  }

  async #injectIntoTarget(target: StandinTarget, failure: TargetFailure): Promise<void> {
    const { kind, durationMs } = failure;
    switch (kind) {
      case TargetSeries.CrashOfAll:
        await target.crash({ downMs: durationMs, callDelaysMs: [] });
        return;
      case TargetSeries.Departure:
        target.failure = StandinTargetFailure.Mute;
        await sleep(durationMs);
        await target.leave();
        return;
      case TargetReturn.LateCalls:
        await target.crash(failure.crash);
        await sleep(failure.cutAfterMs);
        target.failure = StandinTargetFailure.Silent;
        break;
      default:
        target.failure = kind;
    }
    await sleep(durationMs);
    target.failure = StandinTargetFailure.None;
  }

  #findBusiestTarget(): StandinTarget | undefined {
    const { targets, runHistory } = this.#deployment;
    const active = runHistory.runs.filter(({ endedAt }) => endedAt === undefined);
    const countRuns = ({ id }: StandinTarget): number =>
      active.filter(({ target }) => target === id).length;
    return [...targets].sort((left, right) => countRuns(right) - countRuns(left))[0];
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
}
