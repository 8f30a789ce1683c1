import { listen, readText, sendJson } from './http.js';

const LONGEST_LEASE_MS = 10_000;
const LONGEST_WAIT_MS = 2_000;
const LISTED_ENDS = 500;
const STOP_MS = 20;
const LEASE_CHECK_MS = 10;
const HEARTBEAT_MS = 1_500;

/**
 * Stand-in of an executor: runs tasks under a lease and guards its capacity. The submission's `spec` is the
 * JSON of the milliseconds that each of its tasks takes, and the thousandths of a core that it uses.
 */
export class StandinExecutor {
  id;
  #options;
  #startedAt;
  #born;
  #isUp = false;
  #sequence = 0;
  #highestToken = 0;
  #leaseEndsAt = 0;
  #running = new Map();
  #highestRuns = new Map();
  #finished = [];
  /** Times of the record at which runs began, by task. */
  #begun = new Map();
  /** Times of the record at which the system took note of `done` ends, by task. */
  #noted = new Map();
  #ends = 0;
  #waiting = new Set();
  #timers = [];
  #removalTimer;
  /**
   * Decides what becomes of a call before it is carried out: undefined for the usual, or a function that is
   * called in its place. The call gets no answer then.
   */
  intercept = () => undefined;
  #server;
  #address;

  /**
   * `options` has the `id`, `service`, `zone`, `rack`, `store` and `record`, and `ticketOf`, which finds the
   * ticket that a start of a step needs on this executor; undefined if it needs none.
   */
  constructor(options) {
    this.#options = options;
    this.id = options.id;
  }

  async open() {
    const { server, address } = await listen((incoming, response) =>
      this.#handle(incoming, response),
    );
    this.#server = server;
    this.#address = address;
    this.#beginLife();
    this.#timers.push(setInterval(() => this.#register(), HEARTBEAT_MS));
    this.#timers.push(setInterval(() => this.#checkLease(), LEASE_CHECK_MS));
  }

  close() {
    for (const timer of this.#timers) clearInterval(timer);
    clearTimeout(this.#removalTimer);
    for (const { timer } of this.#running.values()) clearTimeout(timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Falls silent, loses all runs and all state, and comes back under its id after `downMs`; never for
   * Infinity. Its entry expires after three missed heartbeats.
   */
  crash(downMs) {
    const { record, store } = this.#options;
    record.write('executor crashes', { executor: this.id, downMs });
    this.#isUp = false;
    for (const [task, { run, timer }] of this.#running) {
      clearTimeout(timer);
      record.write('run ends', { task, run, executor: this.id, how: 'crashed' });
    }
    this.#removalTimer = setTimeout(() => store.remove('servers', this.id), 3 * HEARTBEAT_MS);
    if (downMs === Infinity) return;
    setTimeout(() => {
      this.#beginLife();
      record.write('executor is back', { executor: this.id });
    }, downMs);
  }

  /** Carries out a start that was sent before, without an answer. */
  startLate(body) {
    const reason = this.#isUp ? this.#carryOut('/api/run-start', body) : 'down';
    const { task, run } = body;
    this.#options.record.write('late start', { task, run, executor: this.id, reason });
  }

  /** Whether a task of a submission runs. */
  isRunning(submissionId) {
    return (
      this.#isUp && [...this.#running.keys()].some((task) => task.startsWith(`${submissionId}.`))
    );
  }

  /** Whether a task of a submission has begun here. */
  hasBegun(submissionId) {
    return this.listStarts(submissionId).length > 0;
  }

  /** Lists the times of the record at which tasks of a submission began here, one for each task. */
  listStarts(submissionId) {
    const starts = [...this.#begun].filter(([task]) => task.startsWith(`${submissionId}.`));
    return starts.map(([, at]) => at);
  }

  /** Gets the time of the record at which the system took note that a task was done here. */
  getNotedAt(task) {
    return this.#noted.get(task);
  }

  /** Gets the time of the record at which a task began here last. */
  getBegunAt(task) {
    return this.#begun.get(task);
  }

  get #clockMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  #beginLife() {
    clearTimeout(this.#removalTimer);
    this.#startedAt = performance.now();
    this.#born = Date.now();
    this.#highestToken = 0;
    this.#leaseEndsAt = 0;
    this.#running = new Map();
    this.#highestRuns = new Map();
    this.#finished = [];
    this.#ends = 0;
    this.#isUp = true;
    this.#register();
  }

  #register() {
    if (!this.#isUp) return;
    const { service, zone, rack, store } = this.#options;
    this.#sequence += 1;
    store.put('servers', this.id, {
      service,
      address: this.#address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: this.#sequence,
      capacity: { cpu: 32_000, mem_mb: 131_072, gpu: 0 },
      labels: ['a', rack],
      born: this.#born,
    });
  }

  async #handle(incoming, response) {
    const body = JSON.parse(await readText(incoming));
    const instead = this.#isUp ? this.intercept(incoming.url, body) : undefined;
    instead?.();
    // A machine that is down does not respond.
    if (!this.#isUp || instead !== undefined) return;
    const born = this.#born;
    const describe = () => ({ clock_ms: this.#clockMs, born: this.#born });
    if (incoming.headers['x-target-instance'] !== this.id) {
      sendJson(response, 421, describe());
      return;
    }
    const reason = this.#carryOut(incoming.url, body);
    if (reason !== undefined) {
      sendJson(response, 409, { ...describe(), reason });
      return;
    }
    if (incoming.url !== '/api/hold') {
      sendJson(response, 200, describe());
      return;
    }
    await this.#waitForEnd(body.wait_ms ?? 0);
    if (this.#isUp && this.#born === born)
      sendJson(response, 200, { ...describe(), ...this.#report() });
  }

  /** Carries out a call; returns the reason if it is refused. */
  #carryOut(path, body) {
    const token = body.fencing_token ?? 0;
    if (token < this.#highestToken) return 'fence';
    this.#highestToken = token;
    if (path === '/api/run-start') return this.#start(body);
    if (path === '/api/run-stop') this.#stop(body);
    else if (path === '/api/hold') this.#hold(body);
    return undefined;
  }

  #start({ task, run, spec, deadline_ms: deadline, ticket }) {
    const active = this.#running.get(task);
    if (active?.run === run) return undefined;
    if (deadline < this.#clockMs) return 'late';
    const step = task.split('.').slice(0, 3).join('.');
    const needed = this.#options.ticketOf?.(step, this.id);
    if (needed !== undefined && needed !== ticket) return 'ticket';
    this.#extendLease(deadline);
    if (active !== undefined || run <= (this.#highestRuns.get(task) ?? 0)) return 'old';
    const { ms, cpu } = JSON.parse(spec);
    const used = [...this.#running.values()].reduce((sum, entry) => sum + entry.cpu, 0);
    if (used + cpu > 32_000) return 'room';
    const timer = ms > 0 ? setTimeout(() => this.#end(task, 'done'), ms) : undefined;
    this.#running.set(task, { run, cpu, timer });
    this.#begun.set(task, this.#options.record.now);
    this.#options.record.write('run begins', { task, run, executor: this.id });
    return undefined;
  }

  #stop({ task, run }) {
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
    if (this.#running.get(task)?.run === run) setTimeout(() => this.#end(task, 'stopped'), STOP_MS);
  }

  #hold({ acked_through: acked = 0, deadline_ms: deadline }) {
    for (const [number, task, run, how] of this.#finished) {
      if (number > acked) continue;
      this.#options.record.write('end noted', { task, run, executor: this.id, how });
      if (how === 'done') this.#noted.set(task, this.#options.record.now);
    }
    this.#finished = this.#finished.filter(([number]) => number > acked);
    if (deadline !== undefined) this.#extendLease(deadline);
  }

  async #waitForEnd(waitMs) {
    if (this.#finished.length > 0 || waitMs <= 0) return;
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, Math.min(waitMs, LONGEST_WAIT_MS));
      this.#waiting.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  #report() {
    const running = [...this.#running].map(([task, { run, cpu }]) => [task, run, '', 100, cpu]);
    return { running, finished: this.#finished.slice(0, LISTED_ENDS) };
  }

  #extendLease(deadline) {
    const latest = this.#clockMs + LONGEST_LEASE_MS;
    this.#leaseEndsAt = Math.max(this.#leaseEndsAt, Math.min(deadline, latest));
  }

  #checkLease() {
    if (!this.#isUp || this.#clockMs <= this.#leaseEndsAt) return;
    for (const task of [...this.#running.keys()]) this.#end(task, 'lapsed');
  }

  #end(task, how) {
    const active = this.#running.get(task);
    if (active === undefined) return;
    clearTimeout(active.timer);
    this.#running.delete(task);
    this.#highestRuns.set(task, Math.max(active.run, this.#highestRuns.get(task) ?? 0));
    this.#ends += 1;
    this.#finished.push([this.#ends, task, active.run, how, '']);
    this.#options.record.write('run ends', { task, run: active.run, executor: this.id, how });
    for (const notify of this.#waiting) notify();
    this.#waiting.clear();
  }
}
