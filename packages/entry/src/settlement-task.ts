import type { PermitRecord } from '@currantgap/allowance';
import {
  isReclaimComplete,
  isReclaimer,
  listIncarnations,
  type View,
} from '@currantgap/membership';
import type { Instant } from '@currantgap/model';
import { useAllowances, type EntryCore } from './core.ts';

/** Takes the permits of lost incarnations back, and those that new limits bring. */
export class SettlementTask {
  readonly #core: EntryCore;
  #doneEpoch = 0;
  #doneDocument = '';
  #quarantineEpoch = 0;
  #quarantineUntil: Instant = Infinity;

  constructor(core: EntryCore) {
    this.#core = core;
  }

  /** Does the next step when this entry settles and there is something to settle. */
  async run(): Promise<void> {
    const { current, clock } = this.#core;
    const { view } = current;
    if (!this.#isDue(view)) return;
    const records = await this.#collectRecords(view);
    if (records === undefined || current.view.epoch !== view.epoch) return;
    if (!isReclaimComplete(view) && clock.now < this.#startQuarantine(view)) return;
    await this.#settle(view, records);
  }

  #isDue(view: View): boolean {
    const { current, configuration } = this.#core;
    if (!isReclaimer(view, current.incarnation)) return false;
    if (this.#quarantineEpoch === view.epoch && this.#core.clock.now < this.#quarantineUntil) {
      return false;
    }
    const { documentHash } = configuration.state;
    if (documentHash === '') return false;
    return this.#doneEpoch !== view.epoch || this.#doneDocument !== documentHash;
  }

  /**
   * Every member has answered under this epoch, so none vouches for a lost incarnation any more:
   * it stops starting within the freshness bound, and what it started ends within the longest run.
   */
  #startQuarantine(view: View): Instant {
    const { clock, settings, configuration } = this.#core;
    if (this.#quarantineEpoch === view.epoch) return this.#quarantineUntil;
    const runs = configuration.state.document.services.map((service) => service.maximumRunMs);
    this.#quarantineEpoch = view.epoch;
    this.#quarantineUntil = clock.now + settings.timing.freshnessBoundMs + Math.max(0, ...runs);
    return this.#quarantineUntil;
  }

  /** Collects the records of all members under one epoch and document; undefined if one is missing. */
  async #collectRecords(view: View): Promise<PermitRecord[] | undefined> {
    const { peers, configuration } = this.#core;
    const { sequence } = configuration.state;
    const own = await useAllowances(this.#core, (allowances) => allowances.listRecords());
    try {
      const answers = await Promise.all(
        peers.list().map(async (peer) => peer.client.calls.listRecords({ epoch: view.epoch })),
      );
      const isComplete = answers.every((answer) => answer.isCurrent && answer.sequence >= sequence);
      return isComplete ? [...own, ...answers.flatMap((answer) => answer.records)] : undefined;
    } catch {
      return undefined;
    }
  }

  async #settle(view: View, records: readonly PermitRecord[]): Promise<void> {
    const { logger, configuration, current } = this.#core;
    const { documentHash } = configuration.state;
    const count = await useAllowances(this.#core, (allowances) =>
      current.view.epoch === view.epoch
        ? allowances.reclaimUnowned(records, listIncarnations(view))
        : undefined,
    );
    if (count === undefined) return;
    if (!isReclaimComplete(view) && !(await this.#recordSettled(view))) return;
    this.#doneEpoch = view.epoch;
    this.#doneDocument = documentHash;
    logger.writeInfo('settled permits', { epoch: view.epoch, taken: count });
  }

  async #recordSettled(view: View): Promise<boolean> {
    const { views, current } = this.#core;
    const stored = await views.read();
    if (stored.isErr() || stored.value.view.epoch !== view.epoch) return false;
    const next = { ...stored.value.view, settledEpoch: view.epoch };
    const moved = await views.write(stored.value, next);
    if (moved.isErr()) return false;
    current.offer(moved.value);
    return true;
  }
}
