import { randomUUID } from 'node:crypto';
import { Random } from '@currantgap/model';
import {
  Caller,
  LABEL_HEADER,
  RUN_MS_HEADER,
  TEAM_HEADER,
  type CallerResponse,
} from '@currantgap/standins';
import { build as buildHistogram, type Histogram } from 'hdr-histogram-js';

/** Requests of one team to one service. */
export interface LoadStream {
  readonly team: string;
  readonly service: string;
  /** Access key of the team. */
  readonly key: string;
  /** Gets the mean request rate, in requests per second, at a time since the start of the load. */
  readonly getRate: (elapsedMs: number) => number;
  /** Milliseconds that each request runs at the target. */
  readonly runMs: number;
  readonly timeoutMs: number;
}

/** Options of a load. */
export interface LoadOptions {
  readonly streams: readonly LoadStream[];
  /** Milliseconds during which requests are sent. */
  readonly durationMs: number;
  /** Seed of the arrival times. */
  readonly seed: number;
  /** Chooses the caller port of the entry to which a request is sent. */
  readonly choosePort: (stream: LoadStream) => number;
}

/** Outcomes of the requests of one team; the counts are numbers of requests. */
export interface TeamResult {
  readonly team: string;
  sent: number;
  ran: number;
  notRun: number;
  unknown: number;
  /** Requests without a complete answer. */
  lost: number;
  /** Latencies in milliseconds of the requests that ran. */
  readonly totalMs: Histogram;
  /** Labels of requests answered as not run. */
  readonly notRunLabels: string[];
}

const TICK_MS = 10;
const MS_PER_SECOND = 1_000;

/** Open-loop load generator with Poisson arrivals that collects the outcomes per team. */
export class Load {
  readonly #options: LoadOptions;
  readonly #random: Random;
  readonly #caller = new Caller();
  readonly #results = new Map<string, TeamResult>();
  /** Prefix that makes the labels of this load unique among all loads. */
  readonly #labelPrefix = randomUUID();
  #sequence = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  /** Runs the load and resolves once every request has been answered or has failed. */
  async run(): Promise<TeamResult[]> {
    const startedAt = performance.now();
    const pending: Promise<void>[] = [];
    let elapsedMs = 0;
    while (elapsedMs < this.#options.durationMs) {
      const nextMs = performance.now() - startedAt;
      for (const stream of this.#options.streams) {
        const expected = (stream.getRate(nextMs) * (nextMs - elapsedMs)) / MS_PER_SECOND;
        for (let remaining = this.#drawCount(expected); remaining > 0; remaining -= 1) {
          pending.push(this.#send(stream));
        }
      }
      elapsedMs = nextMs;
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
    }
    await Promise.all(pending);
    this.#caller.close();
    return [...this.#results.values()];
  }

  async #send(stream: LoadStream): Promise<void> {
    this.#sequence += 1;
    const label = `${this.#labelPrefix}-${this.#sequence}`;
    const result = this.#getResult(stream.team);
    result.sent += 1;
    const answer = await this.#caller.send({
      port: this.#options.choosePort(stream),
      path: `/${stream.service}/work`,
      key: stream.key,
      body: label,
      timeoutMs: stream.timeoutMs,
      headers: {
        [TEAM_HEADER]: stream.team,
        [LABEL_HEADER]: label,
        [RUN_MS_HEADER]: String(stream.runMs),
      },
    });
    recordAnswer(result, answer, label);
  }

  /** Draws a Poisson-distributed number with the given mean. */
  #drawCount(mean: number): number {
    let count = 0;
    const threshold = Math.exp(-mean);
    for (let product = this.#random.drawFraction(); product > threshold; count += 1) {
      product *= this.#random.drawFraction();
    }
    return count;
  }

  /** Gets the result of a team; creates it if there is none. */
  #getResult(team: string): TeamResult {
    const existing = this.#results.get(team);
    if (existing !== undefined) return existing;
    const created: TeamResult = {
      team,
      sent: 0,
      ran: 0,
      notRun: 0,
      unknown: 0,
      lost: 0,
      totalMs: buildHistogram(),
      notRunLabels: [],
    };
    this.#results.set(team, created);
    return created;
  }
}

function recordAnswer(result: TeamResult, answer: CallerResponse, label: string): void {
  switch (answer.outcome) {
    case 'ran':
      result.ran += 1;
      result.totalMs.recordValue(Math.max(1, Math.round(answer.totalMs)));
      break;
    case 'not-run':
      result.notRun += 1;
      result.notRunLabels.push(label);
      break;
    case 'unknown':
      result.unknown += 1;
      break;
    default:
      result.lost += 1;
  }
}
