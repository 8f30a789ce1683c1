/** Name of a team in the configuration. */
export type TeamName = string;
/** Name of a service; the first path segment of a caller's request. */
export type ServiceName = string;
/** Name of a pool of VMs. */
export type PoolName = string;
/** Name of a data centre. */
export type DataCentreName = string;
/** Name of a VM. */
export type VmName = string;
/** Identifier of a target: the VM name and port, as `vm:port`. */
export type TargetId = string;
/** Identifier of one lifetime of an entry process; a restart creates a new one. */
export type Incarnation = string;
/** A point in time in milliseconds on the monotonic clock of one process. */
export type Instant = number;
