import { changeSchema } from '@currantgap/environment';
import { z } from 'zod';

const memberSchema = z.object({
  name: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  incarnation: z.string(),
});

/** Schema of the status of an entry. */
export const statusSchema = z.object({
  entry: z.string(),
  environment: z.string(),
  incarnation: z.string(),
  epoch: z.number(),
  sequence: z.number(),
  documentHash: z.string(),
  /** Milliseconds for which the entry may still start work; negative if it may not. */
  freshForMs: z.number(),
  /** Whether all permits of dead entries have been reclaimed. */
  isSettled: z.boolean(),
  members: z.array(memberSchema),
});

/** Schema of the list of teams. */
export const teamsSchema = z.object({
  teams: z.array(
    z.object({
      name: z.string(),
      share: z.number(),
      limit: z.number(),
      running: z.number(),
      /** Permits of the team's limit that this entry holds. */
      held: z.number(),
    }),
  ),
});

/** Schema of the list of VMs. */
export const vmsSchema = z.object({
  vms: z.array(
    z.object({
      name: z.string(),
      pool: z.string(),
      dataCentre: z.string(),
      rack: z.string(),
      address: z.string(),
      isLeaving: z.boolean(),
    }),
  ),
});

/** Schema of the list of data centres. */
export const dataCentresSchema = z.object({
  dataCentres: z.array(
    z.object({ name: z.string(), region: z.string(), vms: z.number(), isOut: z.boolean() }),
  ),
});

/** Schema of the list of caller keys. */
export const keysSchema = z.object({
  keys: z.array(z.object({ keyHash: z.string(), team: z.string() })),
});

/** Schema of the current document; both fields are empty before the first one is applied. */
export const documentResponseSchema = z.object({ hash: z.string(), text: z.string() });

/** Schema of a request to change the configuration. */
export const changeRequestSchema = z.strictObject({ change: changeSchema });

/** Schema of a request to apply a document. */
export const applyRequestSchema = z.strictObject({
  text: z.string(),
  /** Hash that the current document must have for the request to succeed. */
  base: z.string().optional(),
});

/** Schema of a request to promote the document of another environment. */
export const promoteRequestSchema = z.strictObject({
  hash: z.string(),
  /** Hash that the current document must have for the request to succeed. */
  base: z.string(),
});

/** Schema of a request to remove a member whose VM is gone. */
export const removeMemberRequestSchema = z.strictObject({ name: z.string() });

/** Schema of the response to an accepted change. */
export const acceptedChangeSchema = z.object({ sequence: z.number() });

/** Schema of a problem document, the body of an error response. */
export const problemSchema = z.object({ type: z.string(), title: z.string(), detail: z.string() });

/** The status of an entry. */
export type EntryStatus = z.infer<typeof statusSchema>;
/** The teams and their usage. */
export type TeamList = z.infer<typeof teamsSchema>;

/** Paths of the operator listener. */
export enum OperatorPath {
  Status = '/v1/status',
  Teams = '/v1/teams',
  Vms = '/v1/vms',
  DataCentres = '/v1/datacentres',
  Keys = '/v1/keys',
  Document = '/v1/document',
  Source = '/v1/source',
  Changes = '/v1/changes',
  Apply = '/v1/apply',
  Promote = '/v1/promote',
  RemoveMember = '/v1/members/remove',
  Metrics = '/metrics',
  Health = '/healthz',
  Ready = '/readyz',
}

const PATHS = new Map<string, OperatorPath>(
  Object.values(OperatorPath).map((path) => [path, path]),
);

/** Parses the path of a request; undefined if the operator interface has no such path. */
export function parsePath(path: string): OperatorPath | undefined {
  return PATHS.get(path);
}
