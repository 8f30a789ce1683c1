import { Access, type EnvironmentDocument } from '@currantgap/environment';

/** Size and names of an example deployment. */
export interface DeploymentShape {
  readonly region: string;
  readonly dataCentres: readonly string[];
  readonly services: readonly ServiceShape[];
  readonly teams: readonly TeamShape[];
  /** Number of VMs per rack. */
  readonly rackSize: number;
  /** Milliseconds after which a target aborts a running request. */
  readonly maximumRunMs: number;
}

/** A service and its pool, which has the same name. */
export interface ServiceShape {
  readonly name: string;
  readonly vms: number;
  readonly isSpare?: boolean;
  readonly isOpen?: boolean;
}

/** A team with its share and its upper limit of running requests. */
export interface TeamShape {
  readonly name: string;
  readonly share: number;
  readonly limit: number;
}

const RACK_SIZE = 4;
const MAXIMUM_RUN_MS = 5_000;
const SLOTS = 8;
const CONNECTIONS = 64;
const OPEN_TEAM: TeamShape = { name: 'open', share: 1, limit: 16 };

/** Example deployment of Mantojuma Apsekošanas Biedrība. */
export const MANTOJUMA: DeploymentShape = {
  region: 'latvia',
  dataCentres: ['riga', 'liepaja', 'daugavpils', 'valmiera'],
  services: [
    { name: 'kartes', vms: 8, isOpen: true },
    { name: 'velves', vms: 8 },
    { name: 'lauks', vms: 8 },
    { name: 'atskaites', vms: 8 },
    { name: 'palig', vms: 8, isSpare: true },
  ],
  teams: [
    { name: 'kurzeme', share: 4, limit: 120 },
    { name: 'vidzeme', share: 4, limit: 120 },
    { name: 'latgale', share: 2, limit: 60 },
    { name: 'zemgale', share: 2, limit: 60 },
    { name: 'selija', share: 1, limit: 30 },
    { name: 'riga-pilseta', share: 1, limit: 30 },
    OPEN_TEAM,
  ],
  rackSize: RACK_SIZE,
  maximumRunMs: MAXIMUM_RUN_MS,
};

/** Example deployment of Farolito Andino SpA. */
export const FAROLITO: DeploymentShape = {
  region: 'santiago',
  dataCentres: ['maipu', 'quilicura', 'nunoa'],
  services: [
    { name: 'cotiza', vms: 6 },
    { name: 'cotiza-mayor', vms: 9 },
    { name: 'pedidos', vms: 6 },
    { name: 'pedidos-mayor', vms: 9 },
    { name: 'soporte', vms: 6, isSpare: true, isOpen: true },
  ],
  teams: [
    { name: 'comite-grande', share: 6, limit: 150 },
    { name: 'valparaiso', share: 3, limit: 80 },
    { name: 'nunoa', share: 2, limit: 60 },
    { name: 'talca', share: 2, limit: 60 },
    { name: 'parroquias', share: 1, limit: 30 },
    { name: 'eventos', share: 1, limit: 30 },
    OPEN_TEAM,
  ],
  rackSize: RACK_SIZE,
  maximumRunMs: MAXIMUM_RUN_MS,
};

/** Creates the environment document; `getAddress` returns the address of the target on a VM. */
export function createDocument(
  shape: DeploymentShape,
  getAddress: (vm: string) => string,
): EnvironmentDocument {
  return {
    dataCentres: shape.dataCentres.map((name) => ({ name, region: shape.region })),
    pools: shape.services.map(({ name, isSpare }) => ({
      name,
      maximumUnavailable: 1,
      spare: isSpare ?? false,
    })),
    services: shape.services.map(({ name, isOpen }) => ({
      name,
      pool: name,
      access: isOpen === true ? Access.Open : Access.Team,
      slots: SLOTS,
      connections: CONNECTIONS,
      maximumRunMs: shape.maximumRunMs,
    })),
    teams: shape.teams.map((team) => ({ ...team })),
    vms: shape.services.flatMap((service) => createVms(shape, service, getAddress)),
  };
}

function createVms(
  shape: DeploymentShape,
  service: ServiceShape,
  getAddress: (vm: string) => string,
): EnvironmentDocument['vms'] {
  return Array.from({ length: service.vms }, (_, index) => {
    const name = `${service.name}-${index + 1}`;
    return {
      name,
      address: getAddress(name),
      pool: service.name,
      rack: `${service.name}-rack-${Math.floor(index / shape.rackSize) + 1}`,
      dataCentre: shape.dataCentres[index % shape.dataCentres.length] ?? '',
    };
  });
}
