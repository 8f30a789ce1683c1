import type { DataCentreName, ServiceName, TeamName, VmName } from './names.ts';

/** Amount of each resource: the request of a task or the capacity of a target. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly gpus: number;
}

/** Timing of the advice service, whose tickets are required for starts on the route. */
export interface AdvicePolicy {
  /** Fixed duration of one call in milliseconds. */
  readonly decideMs: number;
  /** Additional milliseconds for each target in the call. */
  readonly eachMs: number;
  /** Validity of a ticket in milliseconds. */
  readonly validMs: number;
}

/** A request path with its queue of submissions and the service that runs their tasks. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: ServiceName;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** The latency objective is `stretch` times the critical path plus `latencyObjectiveMs`. */
  readonly stretch: number;
  /** Constant part of the latency objective in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** Whether requests are accepted without a key. */
  readonly isPublic: boolean;
  readonly advice: AdvicePolicy | undefined;
}

/** A service and its pool of VMs. */
export interface Service {
  readonly name: ServiceName;
  /** Whether the targets refuse starts that exceed their capacity. */
  readonly isCapacityEnforced: boolean;
  /** Whether the pool is a spare pool, whose VMs are switched off. */
  readonly isSpare: boolean;
}

/** A client account. */
export interface Team {
  readonly name: TeamName;
  readonly keys: readonly string[];
  /** Relative share of the capacity under contention. */
  readonly weight: number;
  /** Upper limit of the resources of its running tasks; 0 means no limit. */
  readonly cap: Resources;
}

/** The configuration in force, as operators set it. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly teams: readonly Team[];
  readonly limits: IngressLimits;
}

/** Limits on client connections and requests. */
export interface IngressLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A maintenance wave: a group of VMs that are due for maintenance. */
export interface Wave {
  readonly number: number;
  readonly vms: readonly VmName[];
  /** Planned duration of the wave in seconds. */
  readonly durationS: number;
  /** Maximum number of VMs under maintenance at once. */
  readonly concurrency: number;
}

/** Whether a registered target accepts new work. */
export enum TargetState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Registration of a target in the registry. */
export interface TargetEntry {
  readonly id: string;
  /** Start of this incarnation in Unix milliseconds; later after a restart under the same id. */
  readonly bornAt: number;
  readonly address: string;
  readonly service: ServiceName;
  readonly dataCentre: DataCentreName;
  readonly vm: VmName | undefined;
  readonly state: TargetState;
  readonly capacity: Resources;
  /** Labels for the hardware kind and the rack. */
  readonly labels: readonly string[];
  /** Minimum time in milliseconds that a draining target remains available. */
  readonly remainingMs: number | undefined;
}

/** State of a VM as the VM service reports it. */
export enum VmState {
  Up = 'up',
  Moving = 'moving',
  Maintenance = 'maintenance',
  Down = 'down',
}

/** A VM in the list of the VM service. */
export interface Vm {
  readonly name: VmName;
  readonly pool: ServiceName;
  readonly state: VmState;
  readonly dataCentre: DataCentreName;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly targetId: string | undefined;
}
