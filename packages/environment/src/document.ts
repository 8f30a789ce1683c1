import { z } from 'zod';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'expected lower-case letters, digits and hyphens');
const count = z.number().int().positive();

/** Who may send requests to a service. */
export enum Access {
  /** Requests need the key of a team. */
  Team = 'team',
  /** Requests without a key are accepted for the team `open`. */
  Open = 'open',
}

const dataCentre = z.strictObject({ name, region: name });
const pool = z.strictObject({
  name,
  /** VMs of the pool that may be out of service at once. */
  maximumUnavailable: count,
  /** Whether the pool lends its VMs to others. @default false */
  spare: z.boolean().default(false),
});
const service = z.strictObject({
  name,
  pool: name,
  access: z.enum(Access),
  /** Requests that one target runs at once. @default 8 */
  slots: count.default(8),
  /** Connections that one target accepts. @default 64 */
  connections: count.default(64),
  /** Milliseconds after which a target stops a request by itself. @default 30000 */
  maximumRunMs: count.default(30_000),
});
const team = z.strictObject({
  name,
  /** Weight of the team when all is full. */
  share: count,
  /** Requests and tasks the team may have running over the whole fleet. */
  limit: count,
});
const vm = z.strictObject({
  name,
  /** Address of the target on this VM. */
  address: z
    .string()
    .regex(
      /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
      'expected an IP number and port such as "10.0.0.1:7000"',
    ),
  pool: name,
  rack: name,
  dataCentre: name,
});

/** Schema of an environment document. */
export const documentSchema = z.strictObject({
  dataCentres: z.array(dataCentre).min(1),
  pools: z.array(pool).min(1),
  services: z.array(service).min(1),
  teams: z.array(team).min(1),
  vms: z.array(vm).min(1),
});

/** What one environment consists of. */
export type EnvironmentDocument = z.infer<typeof documentSchema>;
/** A service that callers name in the first path segment. */
export type Service = EnvironmentDocument['services'][number];
/** A team with its share and upper limit. */
export type Team = EnvironmentDocument['teams'][number];
/** A VM with its target. */
export type Vm = EnvironmentDocument['vms'][number];
/** A pool of VMs. */
export type Pool = EnvironmentDocument['pools'][number];

/** Team that requests without a key are counted for on services open to all. */
export const OPEN_TEAM = 'open';
