import type { Incarnation, ServiceName, TeamName, VmName } from '@currantgap/model';

/** Name of a resource that permits divide among entries. */
export type ResourceName = string;

/** Names the resource of a team's upper limit. */
export function formatTeamResource(team: TeamName): ResourceName {
  return `team:${team}`;
}

/** Names the resource of a service's slots on one VM. */
export function formatSlotResource(service: ServiceName, vm: VmName): ResourceName {
  return `slots:${service}:${vm}`;
}

/**
 * The hand-over of one permit. Permits of a resource are numbered from 0; only the ones below the
 * present limit are usable. The version rises by one with every hand-over of the permit.
 */
export interface PermitTransfer {
  readonly resource: ResourceName;
  readonly index: number;
  readonly version: number;
}

/** The newest hand-over of a permit that an entry has taken part in. */
export interface PermitRecord extends PermitTransfer {
  readonly owner: Incarnation;
}

/** Permits of one resource as one entry counts them. */
export interface PermitCount {
  /** Permits owned by the entry and below the limit. */
  readonly held: number;
  /** Work that the entry has running against the resource. */
  readonly running: number;
}
