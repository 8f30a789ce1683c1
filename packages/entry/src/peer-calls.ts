import type { PermitGroup, PermitRecord, PermitTransfer } from '@currantgap/allowance';
import { isMember } from '@currantgap/membership';
import type {
  AnnounceRequest,
  BorrowRequest,
  ExchangeMessage,
  GetDocumentRequest,
  ListRecordsRequest,
  PeerHandler,
  PromiseRequest,
} from '@currantgap/peer';
import { decodeAnnouncement, decodeKind, decodeLoggedChange, decodeReport } from './codec.ts';
import { useAllowances, type EntryCore } from './core.ts';
import { buildResponse } from './heartbeat.ts';

/** Creates the handler that serves the peer service. */
export function createPeerHandler(core: EntryCore): PeerHandler {
  const calls = new PeerCalls(core);
  return {
    exchange: async (request: ExchangeMessage) => calls.handleExchange(request),
    announce: (request: AnnounceRequest) => calls.handleAnnouncement(request),
    promise: (request: PromiseRequest) => ({ isPromised: core.current.promise(request.epoch) }),
    borrow: async (request: BorrowRequest) => calls.lend(request),
    listRecords: async (request: ListRecordsRequest) => calls.listRecords(request),
    getDocument: (request: GetDocumentRequest) => ({
      text: core.configuration.getDocument(request.hash) ?? '',
    }),
  };
}

/** Implements the calls of the peer service that need more than one step. */
class PeerCalls {
  readonly #core: EntryCore;

  constructor(core: EntryCore) {
    this.#core = core;
  }

  async handleExchange(request: ExchangeMessage): Promise<ReturnType<typeof buildResponse>> {
    const { current, peers, gate, configuration } = this.#core;
    for (const message of request.announcements) gate.announce(decodeAnnouncement(message));
    const hasAcceptedTransfers = isMember(current.view, request.incarnation);
    if (hasAcceptedTransfers) {
      peers.recordContact(request.incarnation);
      const report = decodeReport(request, configuration.state);
      await useAllowances(this.#core, (allowances) => {
        allowances.receiveReport(request.incarnation, report);
      });
    }
    return buildResponse(this.#core, request, hasAcceptedTransfers);
  }

  handleAnnouncement(request: AnnounceRequest): { epoch: number } {
    const { current, gate } = this.#core;
    if (request.announcement !== undefined) {
      const announcement = decodeAnnouncement(request.announcement);
      if (request.isWithdrawn) gate.resolve(announcement.id);
      else gate.announce(announcement);
    }
    if (request.committed !== undefined) {
      void this.#core.configuration.apply([decodeLoggedChange(request.committed)]);
    }
    return { epoch: current.view.epoch };
  }

  async lend(request: BorrowRequest): Promise<{ transfers: PermitTransfer[] }> {
    const { current } = this.#core;
    const { incarnation, kind, name, count, epoch } = request;
    if (epoch !== current.view.epoch || !isMember(current.view, incarnation)) {
      return { transfers: [] };
    }
    const group: PermitGroup = { kind: decodeKind(kind), name };
    const transfers = await useAllowances(this.#core, (allowances) =>
      allowances.lendTo(group, count, incarnation),
    );
    return { transfers };
  }

  /**
   * Lists the permit records of this entry, if the request is for its current epoch. From this
   * response on, the entry accepts transfers only from members of that epoch or a later one.
   */
  async listRecords(request: ListRecordsRequest): Promise<{
    isCurrent: boolean;
    sequence: number;
    records: PermitRecord[];
  }> {
    const { current, configuration } = this.#core;
    const { sequence } = configuration.state;
    if (request.epoch !== current.view.epoch) return { isCurrent: false, sequence, records: [] };
    const records = await useAllowances(this.#core, (allowances) => allowances.listRecords());
    return { isCurrent: request.epoch === current.view.epoch, sequence, records };
  }
}
