import type { PermitGroup } from '@currantgap/allowance';
import { Borrower } from '@currantgap/gateway';
import { isMember } from '@currantgap/membership';
import { describeError, type Incarnation } from '@currantgap/model';
import { encodeKind } from './codec.ts';
import { useAllowances, type EntryCore } from './core.ts';
import { Heartbeat } from './heartbeat.ts';

/** Milliseconds over which transferred permits are batched before they are sent. */
const DELIVERY_BATCH_MS = 50;

/** Borrows permits from peers through the peer service. */
export class PeerBorrower extends Borrower {
  #core: EntryCore | undefined;

  readonly #scheduled = new Set<Incarnation>();

  /** Sets the core of the entry, which is created after the borrower. */
  connect(core: EntryCore): void {
    this.#core = core;
  }

  deliver(to: Incarnation): void {
    const core = this.#core;
    if (core === undefined || this.#scheduled.has(to)) return;
    this.#scheduled.add(to);
    core.clock.schedule(core.clock.now + DELIVERY_BATCH_MS, () => {
      this.#scheduled.delete(to);
      void new Heartbeat(core).sendTo(to);
    });
  }

  borrow(group: PermitGroup, count: number, from: Incarnation): void {
    if (this.#core !== undefined) void borrowFrom(this.#core, group, count, from);
  }
}

async function borrowFrom(
  core: EntryCore,
  group: PermitGroup,
  count: number,
  from: Incarnation,
): Promise<void> {
  const { current, peers, logger } = core;
  const { epoch } = current.view;
  try {
    const response = await peers.find(from)?.client.calls.borrow({
      incarnation: current.incarnation,
      kind: encodeKind(group.kind),
      name: group.name,
      count,
      epoch,
    });
    await useAllowances(core, (allowances) => {
      if (!isMember(current.view, from)) return;
      allowances.receiveTransfers(from, response?.transfers ?? []);
    });
  } catch (error) {
    const reason = describeError(error);
    logger.writeInfo('borrowing failed', { from, group: group.name, reason });
  }
}
