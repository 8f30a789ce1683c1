/** A row of a table for people. */
export type TableRow = Readonly<Record<string, string | number | boolean>>;

/** Formats rows as a table with a heading of the columns' names. */
export function formatTable(rows: readonly TableRow[]): string {
  const [first] = rows;
  if (first === undefined) return 'none\n';
  const columns = Object.keys(first);
  const cells = [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '')))];
  const widths = columns.map((_, index) =>
    Math.max(...cells.map((line) => (line[index] ?? '').length)),
  );
  const lines = cells.map((line) =>
    line
      .map((cell, index) => cell.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}
