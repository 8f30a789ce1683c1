import type { IncomingMessage, ServerResponse } from 'node:http';
import { readText, sendJson, StandinServer } from '../http-server.ts';
import type { MemoryStore } from '../memory-store.ts';
import type { RunBook, RunRecord } from './run-record.ts';

/** Ways in which a stand-in target misbehaves. */
export enum TargetTrouble {
  None = 'none',
  /** It reads calls and answers none; what it runs goes on. */
  Silent = 'silent',
  /** Starts are carried out, and their answers are lost. */
  AnswerLost = 'answer-lost',
  /** Starts are not answered and carried out later. */
  Late = 'late',
  /** It fails all that it starts. */
  Failing = 'failing',
}

/** What a submission's specification says to stand-in targets. */
export interface StandinWork {
  readonly cpu: number;
  readonly ms: number;
}

interface Running {
  readonly record: RunRecord;
  readonly work: StandinWork;
  readonly timer: NodeJS.Timeout;
}

interface Ended {
  readonly sequence: number;
  readonly record: RunRecord;
}

type WireBody = Readonly<Record<string, string | number | undefined>>;

const LOOK_MS = 10;
const LATE_MS = 1_500;
const FAILURE_MS = 20;
const CPU_MILLIS = 8_000;
const MEMORY_MB = 65_536;

/** A target of the platform: tasks under leases, fenced by the highest token seen. */
export class StandinTarget extends StandinServer {
  readonly id: string;
  trouble = TargetTrouble.None;
  readonly #service: string;
  readonly #store: MemoryStore;
  readonly #book: RunBook;
  readonly #bornAt = Date.now();
  readonly #clockFrom = performance.now();
  readonly #running = new Map<string, Running>();
  readonly #highestRun = new Map<string, number>();
  #ended: Ended[] = [];
  #sequence = 0;
  #token = 0;
  #leaseEnd = Infinity;
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(id: string, service: string, store: MemoryStore, book: RunBook) {
    super();
    this.id = id;
    this.#service = service;
    this.#store = store;
    this.#book = book;
  }

  /** Listens and registers. */
  async open(): Promise<void> {
    await this.listen();
    this.#register();
    this.#timers.push(
      setInterval(() => {
        if (this.#clock > this.#leaseEnd) this.#endAll('lapsed');
      }, LOOK_MS),
    );
  }

  override close(): void {
    for (const timer of this.#timers) clearInterval(timer);
    this.#endAll('lapsed');
    super.close();
  }

  get #clock(): number {
    return Math.round(performance.now() - this.#clockFrom);
  }

  protected async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = JSON.parse(await readText(request)) as WireBody;
    if (this.trouble === TargetTrouble.Silent) return;
    if (request.headers['x-target-instance'] !== this.id) {
      sendJson(response, 421, {});
      return;
    }
    const path = request.url ?? '';
    if (path === '/api/run-start' && this.trouble === TargetTrouble.Late) {
      setTimeout(() => {
        this.#start(body);
      }, LATE_MS);
      return;
    }
    const token = Number(body.fencing_token ?? 0);
    if (token < this.#token) {
      sendJson(response, 409, { clock_ms: this.#clock, reason: 'fence' });
      return;
    }
    this.#token = token;
    if (path === '/api/run-start') this.#answer(response, this.#start(body));
    else if (path === '/api/run-stop') this.#answer(response, this.#stop(body));
    else if (path === '/api/hold') await this.#hold(body, response);
    else this.#answer(response, undefined);
  }

  #answer(response: ServerResponse, reason: string | undefined): void {
    if (this.trouble === TargetTrouble.AnswerLost) response.destroy();
    else if (reason === undefined) sendJson(response, 200, { clock_ms: this.#clock });
    else sendJson(response, 409, { clock_ms: this.#clock, reason });
  }

  /** Starts a task; returns the reason of a refusal. */
  #start(body: WireBody): string | undefined {
    const task = String(body.task);
    const run = Number(body.run);
    const deadline = Number(body.deadline_ms);
    if (Number(body.fencing_token ?? 0) < this.#token) return 'fence';
    if (this.#running.get(task)?.record.run === run) return undefined;
    if (deadline < this.#clock) return 'late';
    if (run <= (this.#highestRun.get(task) ?? 0) || this.#running.has(task)) return 'old';
    const work = JSON.parse(String(body.spec)) as StandinWork;
    const used = [...this.#running.values()].reduce((sum, { work: { cpu } }) => sum + cpu, 0);
    if (used + work.cpu > CPU_MILLIS) return 'room';
    this.#renew(deadline);
    const isFailing = this.trouble === TargetTrouble.Failing;
    const record: RunRecord = {
      task,
      run,
      target: this.id,
      startedAt: performance.now(),
      endedAt: undefined,
      how: undefined,
      isNoted: false,
    };
    this.#book.runs.push(record);
    const timer = setTimeout(
      () => {
        this.#end(task, isFailing ? 'failed' : 'done');
      },
      isFailing ? FAILURE_MS : work.ms,
    );
    this.#running.set(task, { record, work, timer });
    return undefined;
  }

  #stop(body: WireBody): string | undefined {
    const task = String(body.task);
    const run = Number(body.run);
    this.#highestRun.set(task, Math.max(run, this.#highestRun.get(task) ?? 0));
    if (this.#running.get(task)?.record.run === run) this.#end(task, 'stopped');
    return undefined;
  }

  async #hold(body: WireBody, response: ServerResponse): Promise<void> {
    const noted = Number(body.acked_through ?? 0);
    for (const { sequence, record } of this.#ended) if (sequence <= noted) record.isNoted = true;
    this.#ended = this.#ended.filter(({ sequence }) => sequence > noted);
    if (body.deadline_ms !== undefined) this.#renew(Number(body.deadline_ms));
    const waitEnd = performance.now() + Number(body.wait_ms ?? 0);
    while (this.#ended.length === 0 && performance.now() < waitEnd) {
      await new Promise((resolve) => setTimeout(resolve, LOOK_MS));
    }
    const running = [...this.#running.values()].map(({ record: { task, run } }) => [
      task,
      run,
      '',
      100,
      0,
    ]);
    const finished = this.#ended.map(({ sequence, record: { task, run, how } }) => [
      sequence,
      task,
      run,
      how,
      '',
    ]);
    sendJson(response, 200, { clock_ms: this.#clock, born: this.#bornAt, running, finished });
  }

  #renew(deadline: number): void {
    this.#leaseEnd = this.#leaseEnd === Infinity ? deadline : Math.max(this.#leaseEnd, deadline);
  }

  #end(task: string, how: string): void {
    const running = this.#running.get(task);
    if (running === undefined) return;
    clearTimeout(running.timer);
    this.#running.delete(task);
    const { record } = running;
    record.endedAt = performance.now();
    record.how = how;
    this.#highestRun.set(task, Math.max(record.run, this.#highestRun.get(task) ?? 0));
    this.#sequence += 1;
    this.#ended.push({ sequence: this.#sequence, record });
  }

  #endAll(how: string): void {
    for (const task of [...this.#running.keys()]) this.#end(task, how);
  }

  /** Writes the entry once: heartbeats would only wake the feeds. */
  #register(): void {
    const entry = {
      service: this.#service,
      address: this.address,
      zone: 'riga-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: { cpu: CPU_MILLIS, mem_mb: MEMORY_MB, gpu: 0 },
      labels: ['a', 'r1'],
      sequence: 1,
      born: this.#bornAt,
    };
    const put = { table: 'servers', part: '', key: this.id, value: JSON.stringify(entry) };
    void this.#store.commit({ conditions: [], puts: [put], removals: [] });
  }
}
