import { isMember } from '@currantgap/membership';
import type { EntryCore } from './core.ts';
import type { SeatKeeper } from './seat-keeper.ts';

/** Reads the table periodically and brings what it finds into force. */
export class TableFollower {
  readonly #core: EntryCore;
  readonly #seats: SeatKeeper;
  readonly #stopUnseated: () => void;

  /** `stopUnseated` is called when peers have declared this process dead. */
  constructor(core: EntryCore, seats: SeatKeeper, stopUnseated: () => void) {
    this.#core = core;
    this.#seats = seats;
    this.#stopUnseated = stopUnseated;
  }

  /** Polls once. */
  async run(): Promise<void> {
    const { follower, current, gate, logger } = this.#core;
    const wasSeated = current.isSeated;
    const report = await follower.poll(current.view);
    if (report.isErr()) {
      this.#seats.resetLeases();
      logger.writeWarning('table not readable', { reason: report.error.message });
      return;
    }
    current.offer(report.value.view);
    this.#seats.observe(report.value);
    const hasSeat = isMember(current.view, current.incarnation);
    if (wasSeated && !hasSeat) {
      gate.close();
      logger.writeError('declared dead by peers', { epoch: current.view.epoch });
      this.#stopUnseated();
      return;
    }
    if (!hasSeat) return;
    gate.renewByRead(report.value.sentAt);
    gate.dropAnnouncementsBefore(report.value.view.epoch);
  }
}
