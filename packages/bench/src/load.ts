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

/** One stream of requests. */
export interface LoadStream {
  readonly team: string;
  readonly service: string;
  readonly key: string;
  /** Gets the requests a second at a time in milliseconds since the start. */
  readonly getRate: (elapsedMs: number) => number;
  readonly runMs: number;
  readonly timeoutMs: number;
}

/** Options of a load. */
export interface LoadOptions {
  readonly streams: readonly LoadStream[];
  readonly durationMs: number;
  readonly seed: number;
  readonly choosePort: (stream: LoadStream) => number;
}

/** What became of the requests of one team. */
export interface TeamResult {
  readonly team: string;
  sent: number;
  ran: number;
  notRun: number;
  unknown: number;
  lost: number;
  /** Milliseconds from sending to the answer, for requests that ran. */
  readonly totalMs: Histogram;
  /** Labels of requests answered as not run. */
  readonly notRunLabels: string[];
}

const TICK_MS = 10;
const MS_PER_SECOND = 1_000;

/** Sends an open load with Poisson arrivals and collects the answers per team. */
export class Load {
  readonly #options: LoadOptions;
  readonly #random: Random;
  readonly #caller = new Caller();
  readonly #results = new Map<string, TeamResult>();
  /** Tells the labels of this load from those of others. */
  readonly #run = randomUUID();
  #sequence = 0;

  constructor(options: LoadOptions) {
    this.#options = options;
    this.#random = new Random(options.seed);
  }

  /** Runs the load to its end and resolves when every answer has come. */
  async run(): Promise<TeamResult[]> {
    const startedAt = performance.now();
    const pending: Promise<void>[] = [];
    let elapsedMs = 0;
    while (elapsedMs < this.#options.durationMs) {
      const nextMs = performance.now() - startedAt;
      for (const stream of this.#options.streams) {
        const expected = (stream.getRate(nextMs) * (nextMs - elapsedMs)) / MS_PER_SECOND;
        for (let left = this.#drawCount(expected); left > 0; left -= 1) {
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
    const label = `${this.#run}-${this.#sequence}`;
    const result = this.#open(stream.team);
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

  /** Draws a Poisson number. */
  #drawCount(expected: number): number {
    let count = 0;
    const floor = Math.exp(-expected);
    for (let product = this.#random.drawFraction(); product > floor; count += 1) {
      product *= this.#random.drawFraction();
    }
    return count;
  }

  #open(team: string): TeamResult {
    const known = this.#results.get(team);
    if (known !== undefined) return known;
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
