import { LoopbackServer, readBody, sendJson } from './http.js';

/** Ended runs that one answer lists at most. */
const LISTED_ENDS = 500;
const TICK_MS = 5;
const HOLD_MAXIMUM_MS = 10_000;
const CHECKPOINT_MS = 2_000;
const RESTORE_MS = 600;
const HEARTBEAT_MS = 1_500;
/** Milliseconds of silence after which the store drops a registration: three ping intervals. */
const EXPIRY_MS = 4_500;
const STOP_MS = 50;

/**
 * Stand-in of an executor. A specification is a JSON list with an entry for each step: `ms`, `cpu`, `mem` and,
 * optionally, `checkpointing` and `failures`, the number of first runs of a task that fail.
 */
export class Executor extends LoopbackServer {
  /** Whether calls are neither applied nor answered, as behind a cut. */
  isCut = false;
  /** Whether the process does not run: connections are reset. */
  isDown = false;
  /** Whether a process that does not run leaves calls unanswered. */
  isDark = false;
  bornAt = Date.now();
  state = 'ready';
  #options;
  #clockStart = performance.now();
  #running = new Map();
  #highest = new Map();
  #ends = [];
  #sequence = 0;
  #token = 0;
  #leaseEndsAt = -Infinity;
  #beats = 0;
  #beatAt = 0;
  #timers = [];

  /** `options`: id, service, zone, rack, cpu, memory, store, history and an `isRegistered` function. */
  constructor(options) {
    super();
    this.#options = options;
  }

  get rack() {
    return this.#options.rack;
  }

  get id() {
    return this.#options.id;
  }

  /** Starts to listen and registers. */
  async open() {
    await this.listen();
    this.register();
    this.#timers.push(setInterval(() => this.#tick(), TICK_MS));
    this.#timers.push(setInterval(() => this.register(), HEARTBEAT_MS));
  }

  close() {
    for (const timer of this.#timers) clearInterval(timer);
    super.close();
  }

  /**
   * Crashes and starts again after some milliseconds, under the same id and knowing nothing of before. Dark,
   * it does not answer meanwhile; otherwise its connections are reset.
   */
  crash(downMs, isDark = false) {
    for (const [task, { run }] of [...this.#running]) this.#end(task, run, 'crashed');
    this.isDown = true;
    this.isDark = isDark;
    if (!isDark) this.dropConnections();
    this.#options.history.write(`${this.id} crashes`);
    setTimeout(() => {
      // The connections of the last lifetime are gone.
      this.dropConnections();
      this.isDown = false;
      this.bornAt = Date.now();
      this.#clockStart = performance.now();
      this.#highest.clear();
      this.#ends = [];
      this.#sequence = 0;
      this.#token = 0;
      this.#leaseEndsAt = -Infinity;
      this.#beats = 0;
      this.#options.history.write(`${this.id} is back`);
      this.register();
    }, downMs);
  }

  /** Writes the registration, unless the executor is cut off. */
  register() {
    const { id, service, zone, rack, cpu, memory, store } = this.#options;
    if (this.isCut || this.isDown || store.outage !== 'none') return;
    this.#beats += 1;
    this.#beatAt = performance.now();
    store.put('servers', id, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_remaining_ms: 0,
      capacity: { cpu, mem_mb: memory, gpu: 0 },
      labels: ['a', rack],
      machine: `m-${id}`,
      born: this.bornAt,
      clock_ms: this.#clockMs,
      sequence: this.#beats,
    });
  }

  async handle(request, response) {
    const body = JSON.parse(await readBody(request));
    if (this.isDown) {
      if (!this.isDark) response.socket?.resetAndDestroy();
      return;
    }
    // A call behind a cut is lost: its sender gives it up.
    if (this.isCut) return;
    if (request.headers['x-target-instance'] !== this.id) {
      sendJson(response, 421, {});
      return;
    }
    if ((body.fencing_token ?? 0) < this.#token) {
      sendJson(response, 409, { clock_ms: this.#clockMs, reason: 'fence' });
      return;
    }
    this.#token = body.fencing_token ?? 0;
    if (request.url === '/api/run-start') this.#answer(response, this.#start(body));
    else if (request.url === '/api/run-stop') this.#answer(response, this.#stop(body));
    else if (request.url === '/api/hold') await this.#hold(body, response);
    else this.#answer(response, undefined);
  }

  get #clockMs() {
    return Math.round(performance.now() - this.#clockStart);
  }

  #answer(response, reason) {
    if (this.isCut || this.isDown) return;
    const fields = { clock_ms: this.#clockMs, born: this.bornAt };
    if (reason === undefined) sendJson(response, 200, fields);
    else sendJson(response, 409, { ...fields, reason });
  }

  #start({ task, run, spec, deadline_ms: deadline, checkpoint = '' }) {
    if (this.#running.get(task)?.run === run) return undefined;
    if (deadline <= this.#clockMs) return 'late';
    this.#extendLease(deadline);
    if (this.#running.has(task) || run <= (this.#highest.get(task) ?? 0)) return 'old';
    const { cpu, memory, history } = this.#options;
    const demand = JSON.parse(spec).at(Number(task.split('.')[2]));
    const used = [...this.#running.values()];
    if (sum(used, 'cpu') + demand.cpu > cpu || sum(used, 'mem') + demand.mem > memory)
      return 'room';
    const record = history.recordStart({
      task,
      run,
      executor: this.id,
      token: this.#token,
      checkpoint,
    });
    const isFailing = demand.failures > 0 && history.countRuns(task) <= demand.failures;
    const startedAt = performance.now() + (checkpoint === '' ? 0 : RESTORE_MS);
    this.#running.set(task, { run, demand, record, checkpoint, saves: 0, startedAt, isFailing });
    return undefined;
  }

  #stop({ task, run }) {
    this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0));
    const running = this.#running.get(task);
    if (running?.run === run) setTimeout(() => this.#end(task, run, 'stopped'), STOP_MS);
    return undefined;
  }

  async #hold(
    { acked_through: through = 0, deadline_ms: deadline, wait_ms: waitMs = 0 },
    response,
  ) {
    for (const { number, record } of this.#ends)
      if (number <= through) this.#options.history.recordAcknowledged(record);
    this.#ends = this.#ends.filter(({ number }) => number > through);
    if (deadline !== undefined) this.#extendLease(deadline);
    const until = performance.now() + Math.min(2_000, waitMs);
    while (this.#ends.length === 0 && performance.now() < until) await sleep(TICK_MS);
    if (this.isCut || this.isDown) return;
    const finished = this.#ends.slice(0, LISTED_ENDS);
    this.#options.history.recordListed(finished.map(({ record }) => record));
    sendJson(response, 200, {
      clock_ms: this.#clockMs,
      born: this.bornAt,
      running: [...this.#running].map(([task, entry]) => [
        task,
        entry.run,
        entry.checkpoint,
        Math.min(99, Math.round((100 * (performance.now() - entry.startedAt)) / entry.demand.ms)),
        entry.demand.cpu,
      ]),
      finished: finished.map(({ number, task, run, how, saved }) => [
        number,
        task,
        run,
        how,
        saved,
      ]),
    });
  }

  #extendLease(deadline) {
    const latest = this.#clockMs + HOLD_MAXIMUM_MS;
    this.#leaseEndsAt = Math.max(this.#leaseEndsAt, Math.min(deadline, latest));
  }

  #tick() {
    const now = performance.now();
    if (this.isDown && this.#beats > 0 && now > this.#beatAt + EXPIRY_MS) {
      this.#beats = 0;
      this.#options.store.remove('servers', this.id);
    }
    // An end that is acknowledged after the lease has lapsed does not count as taken note of.
    if (this.#clockMs > this.#leaseEndsAt)
      for (const { record } of this.#ends) record.isLapsed = true;
    for (const [task, entry] of [...this.#running]) {
      const workedMs = now - entry.startedAt;
      const { ms, checkpointing } = entry.demand;
      if (this.#clockMs > this.#leaseEndsAt) this.#end(task, entry.run, 'lapsed');
      else if (workedMs >= ms) this.#end(task, entry.run, entry.isFailing ? 'failed' : 'done');
      else if (checkpointing && workedMs >= (entry.saves + 1) * CHECKPOINT_MS) {
        entry.saves += 1;
        entry.checkpoint = entry.saves.toString(16).padStart(8, '0') + task.slice(0, 8);
      }
    }
  }

  #end(task, run, how) {
    const entry = this.#running.get(task);
    if (entry?.run !== run) return;
    this.#running.delete(task);
    this.#highest.set(task, Math.max(run, this.#highest.get(task) ?? 0));
    this.#sequence += 1;
    const { record, checkpoint: saved } = entry;
    this.#options.history.recordEnd(record, how);
    this.#ends.push({ number: this.#sequence, task, run, how, saved, record });
  }
}

function sum(entries, field) {
  return entries.reduce((total, { demand }) => total + demand[field], 0);
}

async function sleep(ms) {
  await new Promise((resolve) => setTimeout(resolve, ms));
}
