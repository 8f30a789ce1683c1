import { z } from 'zod';

const name = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]*$/, 'expected lower-case letters, digits and hyphens');
const count = z.number().int().positive();

/** Who may send requests to a service. */
export enum Access {
  /** Requests need the key of a team. */
  Team = 'team',
  /** Requests without a key are accepted and counted to the team `open`. */
  Open = 'open',
}

const dataCentre = z.strictObject({ name, region: name });
const pool = z.strictObject({
  name,
  /** Maximum number of VMs of the pool that may be out of service at once. */
  maximumUnavailable: count,
  /** Whether the pool lends its VMs to other pools. @default false */
  spare: z.boolean().default(false),
});
const service = z.strictObject({
  name,
  pool: name,
  access: z.enum(Access),
  /** Maximum number of concurrent requests per target. @default 8 */
  slots: count.default(8),
  /** Maximum number of connections per target. @default 64 */
  connections: count.default(64),
  /** Milliseconds after which a target aborts a request. @default 30000 */
  maximumRunMs: count.default(30_000),
});
const team = z.strictObject({
  name,
  /** Relative share of the capacity under contention. */
  share: count,
  /** Maximum number of running requests and tasks of the team in the whole fleet. */
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

/** Configuration of one environment. */
export type EnvironmentDocument = z.infer<typeof documentSchema>;
/** A service, addressed by the first path segment of a caller's request. */
export type Service = EnvironmentDocument['services'][number];
/** A team with its share and limit. */
export type Team = EnvironmentDocument['teams'][number];
/** A VM with its target. */
export type Vm = EnvironmentDocument['vms'][number];
/** A pool of VMs. */
export type Pool = EnvironmentDocument['pools'][number];

/** Name of the team to which requests without a key are counted, on services with open access. */
export const OPEN_TEAM = 'open';
