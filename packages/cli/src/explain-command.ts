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

/** Messages about the fleet that can explain what happened to a request meanwhile. */
const FLEET_MESSAGES: ReadonlySet<string> = new Set([
  'ownership taken',
  'ownership lost',
  'ownership released',
  'lease not renewed',
  'ledger not written',
  'ledger written again',
  'store lost',
  'store regained',
]);

/** Messages about a target that can explain what happened to its runs. */
const TARGET_MESSAGES: ReadonlySet<string> = new Set([
  'target silent',
  'target restarted',
  'target unregistered',
]);

const HIDDEN_FIELDS: ReadonlySet<string> = new Set(['node', 'request', 'logLevel']);

/** Prints the story of one request from the nodes' log lines. */
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
    const story = buildStory(this.id, lines);
    if (story.length === 0) {
      this.context.stderr.write(
        `No line names request ${this.id}. Give the logs of all nodes and check the id.\n`,
      );
      return ExitCode.Refused;
    }
    const [first] = story;
    for (const line of story) {
      this.context.stdout.write(`${formatLine(line, first?.time ?? 0)}\n`);
    }
    return ExitCode.Done;
  }
}

/** Parses log lines; what a bench or a collector put before a line is left out. */
export function parseLines(text: string): LogLine[] {
  return text.split('\n').flatMap((line) => {
    const start = line.indexOf('{"context"');
    if (start < 0) return [];
    try {
      return [JSON.parse(line.slice(start)) as LogLine];
    } catch {
      // A line that was cut off says nothing.
      return [];
    }
  });
}

/** Chooses the lines that belong to a request, in order of time. */
export function buildStory(id: string, lines: readonly LogLine[]): LogLine[] {
  const own = lines.filter(({ context }) => context.request === id);
  const times = own.map(({ time }) => time);
  const from = Math.min(...times);
  const to = Math.max(...times);
  const targets = new Set(own.map(({ context }) => context.target));
  const others = lines.filter(({ time, message, context }) => {
    if (time < from || time > to || context.request !== undefined) return false;
    if (FLEET_MESSAGES.has(message)) return true;
    return TARGET_MESSAGES.has(message) && targets.has(context.target);
  });
  return [...own, ...others].sort((left, right) => left.time - right.time);
}

function formatLine({ time, message, context }: LogLine, from: number): string {
  const seconds = ((time - from) / 1_000).toFixed(3).padStart(8);
  const fields = Object.entries(context)
    .filter(([name]) => !HIDDEN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${value}`);
  return `${seconds} s  ${String(context.node)}  ${message}  ${fields.join(' ')}`;
}
