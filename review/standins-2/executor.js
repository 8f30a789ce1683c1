import { JsonServer } from './http.js';

/** Milliseconds between two registrations, `heartbeat_ms` of the settings. */
const HEARTBEAT_MS = 1_500;
/** Milliseconds of the longest lease, `hold_max_ms` of the settings. */
const MAXIMUM_LEASE_MS = 10_000;
const MAXIMUM_WAIT_MS = 2_000;
const MAXIMUM_LISTED_ENDS = 500;
const CHECK_MS = 10;

/**
 * Stand-in of one life of an executor. The specification of its tasks is JSON with `ms`, their duration
 * in milliseconds, and the resources that they request.
 */
export class Executor {
  /** Whether the process runs. */
  isUp = true;
  #options;
  #server = new JsonServer((call) => this.#handle(call));
  #startedAt = performance.now();
  #born = Date.now();
  #state = 'ready';
  #remainingMs = 0;
  #sequence = 0;
  #timers = [];
  /** Runs by task. */
  #active = new Map();
  /** Highest run that was stopped or has ended, by task. */
  #ended = new Map();
  #ends = [];
  #endCount = 0;
  #highestToken = 0;
  #deadline = 0;
  #waiters = new Set();

  /**
   * @param {{ id: string, service: string, zone: string, rack: string, machine?: string,
   *   capacity: { cpu: number, mem_mb: number, gpu: number }, stopMs: number,
   *   store: import('./store.js').Store, record: import('./record.js').Record,
   *   onRun: (run: object) => void }} options `stopMs` is what a stop takes in milliseconds.
   */
  constructor(options) {
    this.#options = options;
  }

  get id() {
    return this.#options.id;
  }

  get address() {
    return this.#server.address;
  }

  get zone() {
    return this.#options.zone;
  }

  /** Kind and rack. */
  get labels() {
    return ['a', this.#options.rack];
  }

  get capacity() {
    return this.#options.capacity;
  }

  /** Whether the executor takes work. */
  get isReady() {
    return this.isUp && this.#state === 'ready';
  }

  /** Runs that are active. */
  get runs() {
    return [...this.#active.values()];
  }

  /** Listens, on the port of an earlier life if one is given, and registers. */
  async open(port = 0) {
    await this.#server.listen(port);
    this.#register();
    this.#timers = [
      setInterval(() => this.#register(), HEARTBEAT_MS),
      setInterval(() => this.#expire(), CHECK_MS),
    ];
    this.#options.record.write(`executor ${this.id} started at ${this.address}`);
    return this;
  }

  /** Reports that the executor is draining; it goes on serving. */
  drain(remainingMs) {
    this.#state = 'draining';
    this.#remainingMs = remainingMs;
    this.#register();
    this.#options.record.write(`executor ${this.id} drains for ${remainingMs} ms`);
  }

  /** Ends the process: all that runs on it ends with it, and nobody is told. */
  end(reason) {
    if (!this.isUp) return;
    this.isUp = false;
    for (const timer of this.#timers) clearInterval(timer);
    this.#server.close();
    for (const run of this.runs) {
      clearTimeout(run.timer);
      run.endedAt = performance.now();
      run.how = 'gone';
    }
    this.#active.clear();
    this.#options.record.write(`executor ${this.id} ended: ${reason}`);
  }

  /** Removes the registration, as when the executor has left. */
  unregister() {
    this.#options.store.remove('servers', this.id);
  }

  get #clockMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  #register() {
    const { service, zone, machine, capacity, store } = this.#options;
    this.#sequence += 1;
    store.write('servers', this.id, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state: this.#state,
      ...(this.#state === 'draining' ? { remaining_ms: this.#remainingMs } : {}),
      ...(machine === undefined ? {} : { machine }),
      cold_remaining_ms: 0,
      capacity,
      labels: this.labels,
      sequence: this.#sequence,
      born: this.#born,
    });
  }

  async #handle({ url, headers, body }) {
    if (headers['x-target-instance'] !== this.id) return this.#answer(421, {});
    const token = body.fencing_token ?? 0;
    if (token < this.#highestToken) return this.#refuse('fence');
    this.#highestToken = token;
    switch (url.pathname) {
      case '/api/run-start':
        return this.#start(body);
      case '/api/run-stop':
        return this.#stop(body);
      case '/api/hold':
        return this.#hold(body);
      default:
        return this.#answer(404, {});
    }
  }

  #answer(status, body) {
    return { status, body: { clock_ms: this.#clockMs, born: this.#born, ...body } };
  }

  #refuse(reason) {
    return this.#answer(409, { reason });
  }

  #start({ task, run, spec, deadline_ms }) {
    const { record } = this.#options;
    const outcome = this.#decideStart(task, run, deadline_ms, JSON.parse(spec));
    record.write(`start of ${task} run ${run} at ${this.id}: ${outcome ?? 'accepted'}`);
    return outcome === undefined ? this.#answer(200, {}) : this.#refuse(outcome);
  }

  /** Starts a run; returns the reason if it is refused. */
  #decideStart(task, run, deadline, { ms, request }) {
    const known = this.#active.get(task);
    if (known?.run === run) return undefined;
    if (deadline <= this.#clockMs) return 'late';
    this.#extendLease(deadline);
    if (run <= Math.max(this.#ended.get(task) ?? 0, known?.run ?? 0)) return 'old';
    const used = this.runs.reduce((sum, { request: { cpu } }) => sum + cpu, 0);
    if (known !== undefined || used + request.cpu > this.#options.capacity.cpu) return 'room';
    const entry = { task, run, request, executor: this.id, startedAt: performance.now() };
    entry.timer = setTimeout(() => this.#end(entry, 'done'), ms);
    this.#active.set(task, entry);
    this.#options.onRun(entry);
    return undefined;
  }

  #stop({ task, run }) {
    this.#options.record.write(`stop of ${task} run ${run} at ${this.id}`);
    const entry = this.#active.get(task);
    if (entry?.run === run) {
      if (entry.isStopping) return this.#answer(200, {});
      entry.isStopping = true;
      clearTimeout(entry.timer);
      entry.timer = setTimeout(() => this.#end(entry, 'stopped'), this.#options.stopMs);
    } else this.#ended.set(task, Math.max(run, this.#ended.get(task) ?? 0));
    return this.#answer(200, {});
  }

  async #hold({ acked_through = 0, deadline_ms, wait_ms = 0 }) {
    for (const end of this.#ends) if (end.number <= acked_through) end.entry.isAcknowledged = true;
    this.#ends = this.#ends.filter(({ number }) => number > acked_through);
    if (deadline_ms !== undefined) this.#extendLease(deadline_ms);
    const endsAt = performance.now() + Math.min(MAXIMUM_WAIT_MS, wait_ms);
    while (this.#ends.length === 0 && performance.now() < endsAt)
      await this.#waitForEnd(endsAt - performance.now());
    return this.#answer(200, {
      running: this.runs.map(({ task, run }) => [task, run, '', 50, 0]),
      finished: this.#ends
        .slice(0, MAXIMUM_LISTED_ENDS)
        .map(({ number, entry: { task, run, how } }) => [number, task, run, how, '']),
    });
  }

  #waitForEnd(waitMs) {
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.#waiters.add(finish);
    });
  }

  #extendLease(deadline) {
    const longest = this.#clockMs + MAXIMUM_LEASE_MS;
    this.#deadline = Math.max(this.#deadline, Math.min(longest, deadline));
  }

  #expire() {
    if (this.#clockMs <= this.#deadline) return;
    for (const entry of this.runs) this.#end(entry, 'lapsed');
  }

  #end(entry, how) {
    clearTimeout(entry.timer);
    this.#active.delete(entry.task);
    this.#ended.set(entry.task, Math.max(entry.run, this.#ended.get(entry.task) ?? 0));
    entry.endedAt = performance.now();
    entry.how = how;
    this.#endCount += 1;
    this.#ends.push({ number: this.#endCount, entry });
    this.#options.record.write(`end of ${entry.task} run ${entry.run} at ${this.id}: ${how}`);
    for (const notify of [...this.#waiters]) notify();
  }
}
