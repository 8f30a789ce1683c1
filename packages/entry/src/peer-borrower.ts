import type { Group } from '@currantgap/allowance';
import { Borrower } from '@currantgap/gateway';
import { isMember } from '@currantgap/membership';
import type { Incarnation } from '@currantgap/model';
import { encodeKind } from './codec.ts';
import { useAllowances, type EntryCore } from './core.ts';

/** Borrows permits over the peer service. */
export class PeerBorrower extends Borrower {
  #core: EntryCore | undefined;

  /** Connects the borrower, once the entry is put together. */
  connect(core: EntryCore): void {
    this.#core = core;
  }

  borrow(group: Group, count: number, from: Incarnation): void {
    if (this.#core !== undefined) void borrowFrom(this.#core, group, count, from);
  }
}

async function borrowFrom(
  core: EntryCore,
  group: Group,
  count: number,
  from: Incarnation,
): Promise<void> {
  const { current, peers, logger } = core;
  const { epoch } = current.view;
  try {
    const answer = await peers.find(from)?.client.calls.borrow({
      incarnation: current.incarnation,
      kind: encodeKind(group.kind),
      name: group.name,
      count,
      epoch,
    });
    await useAllowances(core, (allowances) => {
      if (!isMember(current.view, from)) return;
      allowances.receiveTransfers(from, answer?.transfers ?? []);
    });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    logger.writeInfo('borrowing failed', { from, group: group.name, reason });
  }
}
