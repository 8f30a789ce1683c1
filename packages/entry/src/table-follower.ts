import { isMember } from '@currantgap/membership';
import type { EntryCore } from './core.ts';
import type { MembershipManager } from './membership-manager.ts';

/** Polls the table and applies the view, the leases and the configuration that it reads. */
export class TableFollower {
  readonly #core: EntryCore;
  readonly #membership: MembershipManager;
  readonly #onDeclaredDead: () => void;

  /** Creates a follower that calls `onDeclaredDead` once peers have declared this process dead. */
  constructor(core: EntryCore, membership: MembershipManager, onDeclaredDead: () => void) {
    this.#core = core;
    this.#membership = membership;
    this.#onDeclaredDead = onDeclaredDead;
  }

  /** Polls once. */
  async run(): Promise<void> {
    const { follower, current, gate, logger } = this.#core;
    const wasMember = current.isMember;
    const report = await follower.poll(current.view);
    if (report.isErr()) {
      this.#membership.resetLeases();
      logger.writeWarning('table not readable', { reason: report.error.message });
      return;
    }
    current.applyIfNewer(report.value.view);
    this.#membership.recordLeases(report.value);
    const isMemberNow = isMember(current.view, current.incarnation);
    if (wasMember && !isMemberNow) {
      gate.close();
      logger.writeError('declared dead by peers', { epoch: current.view.epoch });
      this.#onDeclaredDead();
      return;
    }
    if (!isMemberNow) return;
    gate.renewByRead(report.value.sentAt);
    gate.dropAnnouncementsBefore(report.value.view.epoch);
  }
}
