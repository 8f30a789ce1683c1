import {
  PermitGroupKind,
  type AllowanceReport,
  type Demand,
  type Holding,
} from '@currantgap/allowance';
import { changeSchema, type EnvironmentState } from '@currantgap/environment';
import type { Announcement, LoggedChange } from '@currantgap/freshness';
import {
  HoldingKind,
  type Announcement as AnnouncementMessage,
  type ExchangeMessage,
  type LoggedChange as LoggedChangeMessage,
} from '@currantgap/peer';
import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  AnnouncementSchema,
  ExchangeMessageSchema,
  LoggedChangeSchema,
} from '@currantgap/peer';

/**
 * Characters of a document's hash that are sent to verify that sender and receiver use the same
 * document, and so the same indexes for services and teams.
 */
const HASH_PREFIX_LENGTH = 8;

/** Fields from which an exchange message is created. */
export type ExchangeInit = Exclude<MessageInitShape<typeof ExchangeMessageSchema>, ExchangeMessage>;

/** Encodes a report, with services and teams as indexes into the current document. */
export function encodeReport(report: AllowanceReport, state: EnvironmentState): ExchangeInit {
  const serviceIndexes = indexNames(state.document.services);
  const teamIndexes = indexNames(state.document.teams);
  return {
    sequence: report.sequence,
    isSettled: report.isReclaimComplete,
    documentHash: state.documentHash.slice(0, HASH_PREFIX_LENGTH),
    demands: report.demands.map((demand) => ({
      service: serviceIndexes.get(demand.service) ?? 0,
      team: teamIndexes.get(demand.team) ?? 0,
      running: demand.running,
      waiting: demand.waiting,
    })),
    holdings: report.holdings.map((holding) => ({
      kind: encodeKind(holding.kind),
      index:
        (holding.kind === PermitGroupKind.Team ? teamIndexes : serviceIndexes).get(holding.name) ??
        0,
      held: holding.held,
    })),
    overhangs: [...report.excessUsage],
    transfers: [...report.transfers],
    acknowledged: [...report.acknowledged],
  };
}

/** Decodes a report, without its demands and holdings if they refer to another document. */
export function decodeReport(message: ExchangeMessage, state: EnvironmentState): AllowanceReport {
  const isSameDocument = message.documentHash === state.documentHash.slice(0, HASH_PREFIX_LENGTH);
  return {
    sequence: message.sequence,
    isReclaimComplete: message.isSettled,
    demands: isSameDocument ? decodeDemands(message, state) : [],
    holdings: isSameDocument ? decodeHoldings(message, state) : [],
    excessUsage: message.overhangs,
    transfers: message.transfers,
    acknowledged: message.acknowledged,
  };
}

/** Encodes the kind of a group of permits. */
export function encodeKind(kind: PermitGroupKind): HoldingKind {
  return kind === PermitGroupKind.Team ? HoldingKind.TEAM : HoldingKind.SERVICE;
}

/** Decodes the kind of a group of permits. */
export function decodeKind(kind: HoldingKind): PermitGroupKind {
  return kind === HoldingKind.TEAM ? PermitGroupKind.Team : PermitGroupKind.Service;
}

/** Encodes an announcement, with its change as JSON. */
export function encodeAnnouncement(
  announcement: Announcement,
): MessageInitShape<typeof AnnouncementSchema> {
  return { ...announcement, change: JSON.stringify(announcement.change) };
}

/** Decodes an announcement. Throws if its change is not valid JSON or does not match the schema. */
export function decodeAnnouncement(message: AnnouncementMessage): Announcement {
  const change = changeSchema.parse(JSON.parse(message.change));
  return { id: message.id, epoch: message.epoch, change };
}

/** Encodes a logged change, with the change itself as JSON. */
export function encodeLoggedChange(
  loggedChange: LoggedChange,
): MessageInitShape<typeof LoggedChangeSchema> {
  return { ...loggedChange, change: JSON.stringify(loggedChange.change) };
}

/** Decodes a logged change. Throws if the change is not valid JSON or does not match the schema. */
export function decodeLoggedChange(message: LoggedChangeMessage): LoggedChange {
  const change = changeSchema.parse(JSON.parse(message.change));
  return { sequence: message.sequence, id: message.id, change };
}

function decodeDemands(message: ExchangeMessage, state: EnvironmentState): Demand[] {
  const { services, teams } = state.document;
  return message.demands.flatMap(({ service, team, running, waiting }) => {
    const serviceName = services[service]?.name;
    const teamName = teams[team]?.name;
    if (serviceName === undefined || teamName === undefined) return [];
    return [{ service: serviceName, team: teamName, running, waiting }];
  });
}

function decodeHoldings(message: ExchangeMessage, state: EnvironmentState): Holding[] {
  const { services, teams } = state.document;
  return message.holdings.flatMap(({ kind, index, held }) => {
    const groupKind = decodeKind(kind);
    const name = (groupKind === PermitGroupKind.Team ? teams : services)[index]?.name;
    return name === undefined ? [] : [{ kind: groupKind, name, held }];
  });
}

function indexNames(items: readonly { readonly name: string }[]): Map<string, number> {
  return new Map(items.map((item, index) => [item.name, index]));
}
