import type { Incarnation, ServiceName, TeamName, VmName } from '@currantgap/model';

/** Name of a resource whose permits are distributed among entries. */
export type ResourceName = string;

/** Formats the resource name of a team's limit on running requests. */
export function formatTeamResource(team: TeamName): ResourceName {
  return `team:${team}`;
}

/** Formats the resource name of a service's slots on one VM. */
export function formatSlotResource(service: ServiceName, vm: VmName): ResourceName {
  return `slots:${service}:${vm}`;
}

/**
 * Transfer of ownership of one permit. Permits of a resource are numbered from 0; only those whose
 * index is below the current limit are usable. The version increases by one with every transfer.
 */
export interface PermitTransfer {
  readonly resource: ResourceName;
  readonly index: number;
  readonly version: number;
}

/** Latest transfer of a permit in which an entry was the sender or the recipient. */
export interface PermitRecord extends PermitTransfer {
  readonly owner: Incarnation;
}

/** Permit counts of one resource at one entry. */
export interface PermitCount {
  /** Permits that the entry owns and whose index is below the limit. */
  readonly held: number;
  /** Running work of the entry that uses a permit of the resource. */
  readonly running: number;
}
