import { setTimeout as sleep } from 'node:timers/promises';
import { JsonServer } from './http.js';

/** Milliseconds that an upkeep and a move take, as the settings say. */
const UPKEEP_MS = 2_000;
const MOVE_MS = 1_500;
/** Milliseconds after which the platform answers an order that it has carried out. */
const ANSWER_MS = 300;

/** Stand-in of the platform's service for machines; each machine has one executor at a time. */
export class Machines {
  /** Called with the order when one was carried out, before it is answered. */
  onOrder = () => undefined;
  #server = new JsonServer((call) => this.#handle(call));
  #machines = new Map();
  #openExecutor;
  #record;

  /**
   * @param {{ record: import('./record.js').Record, openExecutor: (machine: string, pool: string) =>
   *   Promise<import('./executor.js').Executor> }} options
   */
  constructor({ record, openExecutor }) {
    this.#record = record;
    this.#openExecutor = openExecutor;
  }

  get address() {
    return this.#server.address;
  }

  async open() {
    await this.#server.listen();
  }

  close() {
    this.#server.close();
  }

  /** Adds a machine that is up, with its executor. */
  async add(name, pool) {
    const executor = await this.#openExecutor(name, pool);
    this.#machines.set(name, { name, pool, state: 'up', executor, waves: new Set() });
  }

  /** Names of the machines that have had the upkeep of a wave. */
  listMaintained(wave) {
    return [...this.#machines.values()]
      .filter(({ waves }) => waves.has(wave))
      .map(({ name }) => name);
  }

  async #handle({ method, url, headers, body }) {
    if (method === 'GET' && url.pathname === '/api/machines') return this.#list();
    const machine = this.#machines.get(body.machine);
    if (machine === undefined) return { status: 400 };
    const order = `${url.pathname} ${machine.name} by ${headers['x-lease-holder']}`;
    const outcome = this.#carryOut(url.pathname, machine, body);
    this.#record.write(`${order}: ${outcome}`);
    if (outcome === 'busy') return { status: 409, body: { reason: 'busy' } };
    if (outcome === 'carried out') this.onOrder(body);
    await sleep(ANSWER_MS);
    return { status: 200 };
  }

  #carryOut(path, machine, { wave, pool }) {
    const isUpkeep = path === '/api/machine-upkeep';
    if (isUpkeep ? machine.waves.has(wave) : machine.pool === pool) return 'already done';
    if (machine.state !== 'up') return 'busy';
    if (isUpkeep) machine.waves.add(wave);
    else machine.pool = pool;
    machine.state = isUpkeep ? 'upkeep' : 'moving';
    machine.executor.end('its machine is away');
    machine.executor.unregister();
    setTimeout(() => void this.#return(machine), isUpkeep ? UPKEEP_MS : MOVE_MS);
    return 'carried out';
  }

  async #return(machine) {
    machine.executor = await this.#openExecutor(machine.name, machine.pool);
    machine.state = 'up';
  }

  #list() {
    const machines = [...this.#machines.values()].map(({ name, pool, state, executor }) => ({
      machine: name,
      pool,
      state,
      zone: executor.zone,
      labels: executor.labels,
      capacity: executor.capacity,
      id: state === 'up' ? executor.id : '',
    }));
    return { status: 200, body: { machines, next_token: '' } };
  }
}
