import { ChangeAnnouncer, type Announcement, type LoggedChange } from '@currantgap/freshness';
import { hasMajority, type View } from '@currantgap/membership';
import type { Incarnation } from '@currantgap/model';
import { encodeAnnouncement, encodeLoggedChange } from './codec.ts';
import type { EntryCore } from './core.ts';
import type { Peer } from './peers.ts';

/** Announces configuration changes to peers through the peer service. */
export class PeerAnnouncer extends ChangeAnnouncer {
  readonly #core: EntryCore;

  constructor(core: EntryCore) {
    super();
    this.#core = core;
  }

  async announce(announcement: Announcement): Promise<boolean> {
    const { current, gate } = this.#core;
    const { view } = current;
    if (view.epoch !== announcement.epoch || !current.isMember) return false;
    gate.announce(announcement);
    return askMajority(this.#core, view, async (peer) => {
      const response = await peer.client.calls.announce({
        announcement: encodeAnnouncement(announcement),
      });
      return response.epoch === view.epoch;
    });
  }

  withdraw(announcement: Announcement): void {
    const { gate, peers, logger } = this.#core;
    gate.resolve(announcement.id);
    for (const peer of peers.list()) {
      const request = { announcement: encodeAnnouncement(announcement), isWithdrawn: true };
      peer.client.calls.announce(request).catch(() => {
        logger.writeInfo('announcement withdrawal not delivered', { peer: peer.member.name });
      });
    }
  }

  publish(change: LoggedChange): void {
    const { configuration, peers, logger } = this.#core;
    void configuration.apply([change]);
    const request = { committed: encodeLoggedChange(change) };
    for (const peer of peers.list()) {
      peer.client.calls.announce(request).catch(() => {
        logger.writeInfo('committed change not delivered', { peer: peer.member.name });
      });
    }
  }
}

/**
 * Sends a request to every peer. Resolves to true as soon as a majority of the view, this entry
 * included, has agreed, or to false once all requests have ended without a majority.
 */
export async function askMajority(
  core: Pick<EntryCore, 'current' | 'peers'>,
  view: View,
  ask: (peer: Peer) => Promise<boolean>,
): Promise<boolean> {
  const supporters = new Set<Incarnation>([core.current.incarnation]);
  if (hasMajority(view, supporters)) return true;
  return new Promise((resolve) => {
    const requests = core.peers.list().map(async (peer) => {
      const hasAgreed = await ask(peer).catch(() => false);
      if (!hasAgreed) return;
      supporters.add(peer.member.incarnation);
      if (hasMajority(view, supporters)) resolve(true);
    });
    void Promise.all(requests).then(() => {
      resolve(hasMajority(view, supporters));
    });
  });
}
