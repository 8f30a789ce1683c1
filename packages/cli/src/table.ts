/** A row of a human-readable table, keyed by column name. */
export type TableRow = Readonly<Record<string, string | number | boolean>>;

/** Formats rows as an aligned table with a header row, or as `none` when there are no rows. */
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
