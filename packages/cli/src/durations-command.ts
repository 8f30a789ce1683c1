import { Command, Option } from 'clipanion';
import { readFile } from 'node:fs/promises';
import { ExitCode } from './exit-code.ts';
import { parseLines } from './explain-command.ts';
import { formatTable, type TableRow } from './table.ts';

/** Log message with the durations of a task that is done. */
const END_MESSAGE = 'run ended';
/** Part of the errors that the second figure of each estimate covers. */
const LARGE_PART = 0.9;

/** Errors of both estimates of the tasks of a route: octaves between estimate and duration. */
interface RouteErrors {
  readonly declared: number[];
  readonly expected: number[];
}

type LogLine = ReturnType<typeof parseLines>[number];

/** Prints how far the clients' and the owner's estimates of durations were off, by route. */
export class DurationsCommand extends Command {
  static override paths = [['durations']];
  static override usage = Command.Usage({
    description: 'Print by route how far estimates of durations were off, from log files',
  });

  files = Option.Rest({ name: 'file', required: 1 });

  async execute(): Promise<ExitCode> {
    const lines: LogLine[] = [];
    for (const file of this.files) {
      try {
        for (const line of parseLines(await readFile(file, 'utf8'))) lines.push(line);
      } catch {
        this.context.stderr.write(`The file ${file} cannot be read. Check its name.\n`);
        return ExitCode.Invalid;
      }
    }
    const rows = buildErrorRows(lines);
    if (rows.length === 0) {
      this.context.stderr.write(
        'No log line has the duration of a task. Pass the logs of the nodes that were the owner.\n',
      );
      return ExitCode.Refused;
    }
    this.context.stdout.write(formatTable(rows));
    return ExitCode.Done;
  }
}

/** Builds a row for each route from the lines that have the durations of a task. */
export function buildErrorRows(lines: readonly LogLine[]): TableRow[] {
  const routes = new Map<string, RouteErrors>();
  for (const { message, context } of lines) {
    const { route, declaredMs, expectedMs, actualMs } = context;
    if (message !== END_MESSAGE || typeof route !== 'string') continue;
    if (!isDuration(declaredMs) || !isDuration(expectedMs) || !isDuration(actualMs)) continue;
    const errors = routes.get(route) ?? { declared: [], expected: [] };
    routes.set(route, errors);
    errors.declared.push(Math.abs(Math.log2(actualMs / declaredMs)));
    errors.expected.push(Math.abs(Math.log2(actualMs / expectedMs)));
  }
  return [...routes]
    .sort(([left], [right]) => left.localeCompare(right))
    .map(([route, { declared, expected }]) => ({
      route,
      tasks: declared.length,
      'client median': formatQuantile(declared, 0.5),
      'client p90': formatQuantile(declared, LARGE_PART),
      'ours median': formatQuantile(expected, 0.5),
      'ours p90': formatQuantile(expected, LARGE_PART),
    }));
}

function isDuration(value: unknown): value is number {
  return typeof value === 'number' && value > 0;
}

/** Formats the value that this part of the values does not exceed. */
function formatQuantile(values: readonly number[], part: number): string {
  const sorted = [...values].sort((left, right) => left - right);
  const position = Math.max(0, Math.ceil(part * sorted.length) - 1);
  return (sorted[position] ?? 0).toFixed(2);
}
