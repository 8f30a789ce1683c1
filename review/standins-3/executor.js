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
  #startedAt = performance.now();
  #born = Date.now();
  #sequence = 0;
  #highestToken = 0;
  #leaseEndsAt = 0;
  #running = new Map();
  #highestRuns = new Map();
  #finished = [];
  /** Times of the record at which runs began, by task. */
  #begun = new Map();
  #ends = 0;
  #waiting = new Set();
  #timers = [];
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
    this.#register();
    this.#timers.push(setInterval(() => this.#register(), HEARTBEAT_MS));
    this.#timers.push(setInterval(() => this.#checkLease(), LEASE_CHECK_MS));
  }

  close() {
    for (const timer of this.#timers) clearInterval(timer);
    for (const { timer } of this.#running.values()) clearTimeout(timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Whether a task of a submission runs. */
  isRunning(submissionId) {
    return [...this.#running.keys()].some((task) => task.startsWith(`${submissionId}.`));
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

  get #clockMs() {
    return Math.round(performance.now() - this.#startedAt);
  }

  #register() {
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
    const describe = () => ({ clock_ms: this.#clockMs, born: this.#born });
    if (incoming.headers['x-target-instance'] !== this.id) {
      sendJson(response, 421, describe());
      return;
    }
    const token = body.fencing_token ?? 0;
    const refuse = (reason) => sendJson(response, 409, { ...describe(), reason });
    if (token < this.#highestToken) {
      refuse('fence');
      return;
    }
    this.#highestToken = token;
    switch (incoming.url) {
      case '/api/run-start': {
        const reason = this.#start(body);
        if (reason !== undefined) refuse(reason);
        else sendJson(response, 200, describe());
        return;
      }
      case '/api/run-stop':
        this.#stop(body);
        break;
      case '/api/hold':
        await this.#hold(body);
        sendJson(response, 200, { ...describe(), ...this.#report() });
        return;
      case '/api/pace':
        break;
      default:
        sendJson(response, 404, {});
        return;
    }
    sendJson(response, 200, describe());
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

  async #hold({ acked_through: acked = 0, deadline_ms: deadline, wait_ms: waitMs = 0 }) {
    this.#finished = this.#finished.filter(([number]) => number > acked);
    if (deadline !== undefined) this.#extendLease(deadline);
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
    if (this.#clockMs <= this.#leaseEndsAt) return;
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
