import { Command, Option } from 'clipanion';
import { readFile } from 'node:fs/promises';
import { ExitCode } from './exit-code.ts';

/** One log line of a node. */
interface LogLine {
  /** Unix milliseconds. */
  readonly time: number;
  readonly message: string;
  readonly context: Readonly<Record<string, string | number | boolean>>;
}

/** Log messages about ownership, the ledger and the store, which can affect every request. */
const FLEET_MESSAGES: ReadonlySet<string> = new Set([
  'ownership taken',
  'ownership lost',
  'ownership released',
  'lease not renewed',
  'ledger not written',
  'ledger written again',
  'store lost',
  'store regained',
  'pool contended',
  'pool contended no longer',
]);

/** Log messages about a target that can affect the runs on it. */
const TARGET_MESSAGES: ReadonlySet<string> = new Set([
  'target silent',
  'target restarted',
  'target unregistered',
]);

/** Context fields that are not printed after the message. */
const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['node', 'request', 'logLevel']);

/** Prints the timeline of a request from the log files of the nodes. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Print the story of a request from log files',
  });

  id = Option.String({ name: 'id' });
  files = Option.Rest({ name: 'file', required: 1 });

  async execute(): Promise<ExitCode> {
    const lines: LogLine[] = [];
    for (const file of this.files) {
      try {
        lines.push(...parseLines(await readFile(file, 'utf8')));
      } catch {
        this.context.stderr.write(`The file ${file} cannot be read. Check its name.\n`);
        return ExitCode.Invalid;
      }
    }
    const timeline = buildTimeline(this.id, lines);
    if (timeline.length === 0) {
      this.context.stderr.write(
        `No log line mentions request ${this.id}. Pass the logs of all nodes and check the id.\n`,
      );
      return ExitCode.Refused;
    }
    const [first] = timeline;
    for (const line of timeline) {
      this.context.stdout.write(`${formatLine(line, first?.time ?? 0)}\n`);
    }
    for (const summary of describeCopies(timeline)) this.context.stdout.write(`${summary}\n`);
    return ExitCode.Done;
  }
}

/** Parses log lines. Prefixes added by a benchmark or a log collector are removed. */
export function parseLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"context"');
    if (start < 0) return [];
    try {
      return [JSON.parse(line.slice(start)) as LogLine];
    } catch {
      // A truncated line cannot be parsed and is skipped.
      return [];
    }
  });
}

/**
 * Selects the log lines that explain a request, ordered by time: the lines with its id, and lines
 * about the fleet and about its targets that were logged between the first and the last of these.
 */
export function buildTimeline(id: string, lines: readonly LogLine[]): LogLine[] {
  const requestLines = lines.filter(({ context }) => context.request === id);
  const times = requestLines.map(({ time }) => time);
  const from = Math.min(...times);
  const to = Math.max(...times);
  const targets = new Set(requestLines.map(({ context }) => context.target));
  const relatedLines = lines.filter(({ time, message, context }) => {
    if (time < from || time > to || context.request !== undefined) return false;
    if (FLEET_MESSAGES.has(message)) return true;
    return TARGET_MESSAGES.has(message) && targets.has(context.target);
  });
  return [...requestLines, ...relatedLines].sort((left, right) => left.time - right.time);
}

/** Describes the tasks of which a copy ran beside the first run, because that was late. */
export function describeCopies(timeline: readonly LogLine[]): string[] {
  return timeline
    .filter(({ message }) => message === 'copy started')
    .map(({ context: { task, run, target, originalRun, originalTarget } }) => {
      const end = timeline.find(
        ({ message, context }) =>
          (message === 'copy won' || message === 'copy lost') &&
          context.task === task &&
          context.run === run,
      );
      const result = end === undefined ? 'no end logged' : `${end.message}, ${end.context.reason}`;
      return `Task ${task} ran twice by intent: run ${originalRun} on ${originalTarget} and run ${run} on ${target}; ${result}.`;
    });
}

function formatLine({ time, message, context }: LogLine, from: number): string {
  const seconds = ((time - from) / 1_000).toFixed(3).padStart(8);
  const fields = Object.entries(context)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${value}`);
  return `${seconds} s  ${String(context.node)}  ${message}  ${fields.join(' ')}`;
}
