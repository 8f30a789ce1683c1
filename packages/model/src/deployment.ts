import type { DataCentreName, ServiceName, TeamName, VmName } from './names.ts';

/** Amount of each resource that a task asks for or a target has. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly gpus: number;
}

/** Terms on which the advice service must be asked before a start on a route. */
export interface AdvicePolicy {
  /** Milliseconds that one call takes, whatever it names. */
  readonly decideMs: number;
  /** Further milliseconds for each target named. */
  readonly eachMs: number;
  /** Milliseconds for which a ticket is valid. */
  readonly validMs: number;
}

/** A queue of submissions and where its tasks run. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly service: ServiceName;
  /** 0 comes first. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** Latency objective as a multiple of the longest chain of tasks. */
  readonly stretch: number;
  /** Milliseconds added to the stretched chain. */
  readonly latencyObjectiveMs: number;
  /** A public route asks for no key. */
  readonly isPublic: boolean;
  readonly advice: AdvicePolicy | undefined;
}

/** A service and its pool of VMs. */
export interface Service {
  readonly name: ServiceName;
  /** The targets themselves refuse what does not fit. */
  readonly isCapacityEnforced: boolean;
  /** VMs of a spare pool are switched off. */
  readonly isSpare: boolean;
}

/** A client account. */
export interface Team {
  readonly name: TeamName;
  readonly keys: readonly string[];
  /** Share when all is full. */
  readonly weight: number;
  /** Most that it may have running; 0 means no limit. */
  readonly cap: Resources;
}

/** The configuration that operators put in force. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly teams: readonly Team[];
  readonly limits: IngressLimits;
}

/** Limits on what a client may send. */
export interface IngressLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One maintenance wave: VMs that are due for maintenance. */
export interface Wave {
  readonly number: number;
  readonly vms: readonly VmName[];
  /** Seconds in which the wave should end. */
  readonly durationS: number;
  /** Most VMs under maintenance at once. */
  readonly concurrency: number;
}

/** Whether a registered target takes new work. */
export enum TargetState {
  Ready = 'ready',
  Draining = 'draining',
}

/** What a target says of itself in the registry. */
export interface TargetEntry {
  readonly id: string;
  /** Start of this lifetime in Unix milliseconds; a restart under the same id has a later one. */
  readonly bornAt: number;
  readonly address: string;
  readonly service: ServiceName;
  readonly dataCentre: DataCentreName;
  readonly vm: VmName | undefined;
  readonly state: TargetState;
  readonly capacity: Resources;
  /** Hardware kind and rack. */
  readonly labels: readonly string[];
  /** Milliseconds for which a draining target stays at least. */
  readonly remainingMs: number | undefined;
}

/** What a VM does, as the VM service says. */
export enum VmState {
  Up = 'up',
  Moving = 'moving',
  Maintenance = 'maintenance',
  Down = 'down',
}

/** A VM as the VM service lists it. */
export interface Vm {
  readonly name: VmName;
  readonly pool: ServiceName;
  readonly state: VmState;
  readonly dataCentre: DataCentreName;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  readonly targetId: string | undefined;
}
