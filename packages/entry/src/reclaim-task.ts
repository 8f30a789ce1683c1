import type { PermitRecord } from '@currantgap/allowance';
import {
  isReclaimComplete,
  isReclaimer,
  listIncarnations,
  type View,
} from '@currantgap/membership';
import type { Instant } from '@currantgap/model';
import { useAllowances, type EntryCore } from './core.ts';

/** Reclaims the permits of dead incarnations and takes ownership of those added by new limits. */
export class ReclaimTask {
  readonly #core: EntryCore;
  #reclaimedEpoch = 0;
  #reclaimedDocumentHash = '';
  #quarantineEpoch = 0;
  #quarantineUntil: Instant = Infinity;

  constructor(core: EntryCore) {
    this.#core = core;
  }

  /** Runs the next step, if this entry is responsible for reclaiming and permits may be unowned. */
  async run(): Promise<void> {
    const { current, clock } = this.#core;
    const { view } = current;
    if (!this.#isDue(view)) return;
    const records = await this.#collectRecords(view);
    if (records === undefined || current.view.epoch !== view.epoch) return;
    if (!isReclaimComplete(view) && clock.now < this.#startQuarantine(view)) return;
    await this.#reclaim(view, records);
  }

  #isDue(view: View): boolean {
    const { current, configuration } = this.#core;
    if (!isReclaimer(view, current.incarnation)) return false;
    if (this.#quarantineEpoch === view.epoch && this.#core.clock.now < this.#quarantineUntil) {
      return false;
    }
    const { documentHash } = configuration.state;
    if (documentHash === '') return false;
    return this.#reclaimedEpoch !== view.epoch || this.#reclaimedDocumentHash !== documentHash;
  }

  /**
   * Starts the quarantine of an epoch and returns when it ends. Every member has responded under
   * this epoch, so none confirms freshness to a dead incarnation any more: that incarnation stops
   * starting work within the freshness bound, and its work ends within the maximum run time.
   */
  #startQuarantine(view: View): Instant {
    const { clock, settings, configuration } = this.#core;
    if (this.#quarantineEpoch === view.epoch) return this.#quarantineUntil;
    const maximumRunTimesMs = configuration.state.document.services.map(
      (service) => service.maximumRunMs,
    );
    this.#quarantineEpoch = view.epoch;
    this.#quarantineUntil =
      clock.now + settings.timing.freshnessBoundMs + Math.max(0, ...maximumRunTimesMs);
    return this.#quarantineUntil;
  }

  /**
   * Collects the permit records of all members. Resolves to undefined if one does not respond, is
   * in another epoch or has not applied the configuration of this entry.
   */
  async #collectRecords(view: View): Promise<PermitRecord[] | undefined> {
    const { peers, configuration } = this.#core;
    const { sequence } = configuration.state;
    const ownRecords = await useAllowances(this.#core, (allowances) => allowances.listRecords());
    try {
      const responses = await Promise.all(
        peers.list().map(async (peer) => peer.client.calls.listRecords({ epoch: view.epoch })),
      );
      const isComplete = responses.every(
        (response) => response.isCurrent && response.sequence >= sequence,
      );
      return isComplete
        ? [...ownRecords, ...responses.flatMap((response) => response.records)]
        : undefined;
    } catch {
      return undefined;
    }
  }

  async #reclaim(view: View, records: readonly PermitRecord[]): Promise<void> {
    const { logger, configuration, current } = this.#core;
    const { documentHash } = configuration.state;
    const reclaimedCount = await useAllowances(this.#core, (allowances) =>
      current.view.epoch === view.epoch
        ? allowances.reclaimUnowned(records, listIncarnations(view))
        : undefined,
    );
    if (reclaimedCount === undefined) return;
    if (!isReclaimComplete(view) && !(await this.#recordReclaimed(view))) return;
    this.#reclaimedEpoch = view.epoch;
    this.#reclaimedDocumentHash = documentHash;
    logger.writeInfo('reclaimed permits', { epoch: view.epoch, taken: reclaimedCount });
  }

  async #recordReclaimed(view: View): Promise<boolean> {
    const { views, current } = this.#core;
    const stored = await views.read();
    if (stored.isErr() || stored.value.view.epoch !== view.epoch) return false;
    const next = { ...stored.value.view, settledEpoch: view.epoch };
    const written = await views.write(stored.value, next);
    if (written.isErr()) return false;
    current.applyIfNewer(written.value);
    return true;
  }
}
