import { Random } from '@currantgap/model';
import {
  drawId,
  StandinDeployment,
  StoreTrouble,
  TargetTrouble,
  type NodeProcess,
} from '@currantgap/standins';
import { setTimeout as sleep } from 'node:timers/promises';
import { NodeTrouble, Victim, type SoakPlan, type Trouble } from './plan.ts';
import { findBroken, type Sent } from './promises.ts';
import { LinkTrouble, StoreLink } from './store-link.ts';

/** Milliseconds between submissions. */
const SEND_PAUSE_MS = 120;
/** Milliseconds before a caller sends again after a refusal or no answer. */
const RETRY_MS = 150;
/** Share of the submissions that are cancelled. */
const CANCEL_SHARE = 0.15;
/** Share of the submissions of which the first refusal is final. */
const GIVE_UP_SHARE = 0.2;
/** Milliseconds after the last trouble within which all that was accepted must be done. */
const SETTLE_MS = 15_000;
const LOOK_MS = 100;
const TASK_CPU_MILLIS = 1_000;
const SHORTEST_TASK_MS = 50;
const LONGEST_TASK_MS = 700;
const ACCEPTED = 200;
const REFUSED = 503;

/** What a submission of the soak has become so far. */
type Entry = { -readonly [Name in keyof Sent]: Sent[Name] };

/** Plays one plan on real processes and checks the promises afterwards. */
export class Soak {
  readonly #plan: SoakPlan;
  readonly #random: Random;
  readonly #deployment: StandinDeployment;
  readonly #links = new Map<string, StoreLink>();
  readonly #entries: Entry[] = [];

  /** `command` runs the product, its first word the program. */
  constructor(plan: SoakPlan, command: readonly string[]) {
    this.#plan = plan;
    this.#random = new Random(plan.seed + 1);
    const { nodes, targets } = plan;
    const openLink = async (node: string, address: string): Promise<string> => {
      const link = new StoreLink(address);
      this.#links.set(node, link);
      return link.open();
    };
    this.#deployment = new StandinDeployment({ nodes, targets, command, openLink });
  }

  /** Returns a line for each broken promise, and how many submissions were accepted. */
  async run(): Promise<{ broken: string[]; accepted: number }> {
    try {
      await this.#deployment.start();
      const troubles = this.#plan.troubles.map(async (trouble) => this.#runTrouble(trouble));
      await Promise.all([this.#send(), ...troubles]);
      await this.#settle();
      const sent: readonly Sent[] = this.#entries;
      const accepted = sent.filter(({ isRefused }) => !isRefused).length;
      return { broken: findBroken(sent, this.#deployment.book), accepted };
    } finally {
      await this.#deployment.close();
      for (const link of this.#links.values()) link.close();
    }
  }

  async #send(): Promise<void> {
    const endsAt = performance.now() + this.#plan.lengthMs;
    const callers: Promise<void>[] = [];
    while (performance.now() < endsAt) {
      callers.push(this.#sendOne());
      await sleep(SEND_PAUSE_MS);
    }
    await Promise.all(callers);
  }

  /** One caller: repeats the same submission, at any node, until it is accepted or given up. */
  async #sendOne(): Promise<void> {
    const counts = Array.from({ length: 1 + this.#random.drawInteger(2) }, () => this.#drawCount());
    const ms = SHORTEST_TASK_MS + this.#random.drawInteger(LONGEST_TASK_MS - SHORTEST_TASK_MS);
    const isPatient = this.#random.drawFraction() >= GIVE_UP_SHARE;
    const isCancelled = this.#random.drawFraction() < CANCEL_SHARE;
    const id = drawId();
    const entry: Entry = { id, counts, isRefused: false, cancelledAt: undefined, state: undefined };
    this.#entries.push(entry);
    let isUncertain = false;
    for (;;) {
      const work = { cpu: TASK_CPU_MILLIS, ms };
      const { status } = await this.#deployment.submit(this.#chooseNode(), id, counts, work);
      if (status === ACCEPTED) break;
      // Only an answer that promises that it never runs is held against the nodes.
      isUncertain ||= status !== REFUSED;
      if (!isPatient && !isUncertain) {
        entry.isRefused = true;
        return;
      }
      await sleep(RETRY_MS);
    }
    if (isCancelled) await this.#cancel(entry);
  }

  async #cancel(entry: Entry): Promise<void> {
    for (;;) {
      const { status } = await this.#deployment.cancel(this.#chooseNode(), entry.id);
      if (status === ACCEPTED) break;
      await sleep(RETRY_MS);
    }
    entry.cancelledAt = performance.now();
  }

  async #runTrouble(trouble: Trouble): Promise<void> {
    await sleep(trouble.at);
    if (trouble.on === 'store') await this.#changeStore(trouble.kind, trouble.forMs);
    else if (trouble.on === 'target') await this.#changeTarget(trouble);
    else {
      const victims = this.#listVictims(trouble.victim);
      const { kind, forMs } = trouble;
      await Promise.all(victims.map(async (node) => this.#changeNode(node, kind, forMs)));
    }
  }

  async #changeStore(kind: StoreTrouble, forMs: number): Promise<void> {
    const { store } = this.#deployment.storeServer;
    store.trouble = kind;
    await sleep(forMs);
    store.trouble = StoreTrouble.None;
    store.applyLate();
  }

  async #changeTarget(trouble: Trouble & { on: 'target' }): Promise<void> {
    const target = this.#deployment.targets[trouble.index];
    if (target === undefined) return;
    target.trouble = trouble.kind;
    await sleep(trouble.forMs);
    target.trouble = TargetTrouble.None;
  }

  async #changeNode(node: NodeProcess, kind: NodeTrouble, forMs: number): Promise<void> {
    const link = this.#links.get(node.options.name);
    switch (kind) {
      case NodeTrouble.Kill:
        await node.kill();
        await sleep(forMs);
        node.start();
        return;
      case NodeTrouble.Stop:
        node.send('SIGCONT');
        node.send('SIGTERM');
        await node.waitForEnd();
        node.start();
        return;
      case NodeTrouble.Pause:
        node.send('SIGSTOP');
        await sleep(forMs);
        node.send('SIGCONT');
        return;
      case NodeTrouble.Reset:
        link?.reset();
        return;
      case NodeTrouble.Cut:
      case NodeTrouble.Deaf:
        if (link === undefined) return;
        link.trouble = kind === NodeTrouble.Cut ? LinkTrouble.Cut : LinkTrouble.Deaf;
        await sleep(forMs);
        link.trouble = LinkTrouble.None;
        // What vanished is not repeated: a connection that lost bytes is of no more use.
        link.reset();
    }
  }

  #listVictims(victim: Victim): readonly NodeProcess[] {
    const { nodes } = this.#deployment;
    if (victim === Victim.All) return nodes;
    const owner = this.#deployment.findOwner();
    if (victim === Victim.Owner) return owner === undefined ? [] : [owner];
    const others = nodes.filter((node) => node !== owner);
    const other = others[this.#random.drawInteger(Math.max(1, others.length))];
    return other === undefined ? [] : [other];
  }

  /** Waits until all that was accepted has ended, or the time for it is over. */
  async #settle(): Promise<void> {
    const endsAt = performance.now() + SETTLE_MS;
    const isOpen = ({ isRefused, state }: Entry): boolean =>
      !isRefused && (state === undefined || state === 'pending' || state === 'running');
    while (performance.now() < endsAt) {
      const open = this.#entries.filter(isOpen);
      if (open.length === 0) return;
      for (const entry of open) {
        const { status, state } = await this.#deployment.show(this.#chooseNode(), entry.id);
        if (status === ACCEPTED) entry.state = state;
      }
      await sleep(LOOK_MS);
    }
  }

  #chooseNode(): NodeProcess {
    const { nodes } = this.#deployment;
    const running = nodes.filter(({ isRunning }) => isRunning);
    const choice = running.length > 0 ? running : nodes;
    const node = choice[Math.floor(Math.random() * choice.length)];
    if (node === undefined) throw new RangeError('the deployment has no nodes');
    return node;
  }

  #drawCount(): number {
    return 1 + this.#random.drawInteger(3);
  }
}
