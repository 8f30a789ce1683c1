import type { Row } from '@currantgap/store';

/** Separates the key of a row from the number of a further part of its value. */
const PART_SEPARATOR = '/part-';
/** Begin of the first part of a value: the number of its parts. No JSON text begins so. */
const COUNT_PATTERN = /^(\d+)\|/;
/** Bytes that the number of parts takes at most. */
const COUNT_BYTES = 8;
const PART_KEY_PATTERN = /\/part-\d+$/;

/** Gets the key of the row that holds a part of a value; the first part has the key of the value. */
export function getPartKey(key: string, part: number): string {
  return part === 0 ? key : `${key}${PART_SEPARATOR}${part}`;
}

/** Splits a JSON text over as many rows as it needs; one that fits into a single row stays as it is. */
export function splitValue(value: string, maximumBytes: number): readonly string[] {
  if (Buffer.byteLength(value) <= maximumBytes) return [value];
  const text = encodeNonAscii(value);
  const partBytes = maximumBytes - COUNT_BYTES;
  const count = Math.ceil(text.length / partBytes);
  const parts = Array.from({ length: count }, (_, part) =>
    text.slice(part * partBytes, (part + 1) * partBytes),
  );
  return parts.map((part, index) => (index === 0 ? `${count}|${part}` : part));
}

/** A row whose value may be spread over several rows of the store. */
export interface JoinedRow extends Row {
  /** Number of rows that hold the value. */
  readonly parts: number;
}

/** Joins the parts of values that are spread over several rows; the rows are those of one table. */
export function joinParts(rows: readonly Row[]): readonly JoinedRow[] {
  const values = new Map(rows.map(({ key, value }) => [key, value]));
  const whole = rows.filter(({ key }) => !isFurtherPart(key, values));
  return whole.map((row) => {
    const count = Number(COUNT_PATTERN.exec(row.value)?.[1] ?? 1);
    if (count === 1) return { ...row, parts: 1 };
    const keys = Array.from({ length: count }, (_, part) => getPartKey(row.key, part));
    const value = keys.map((key) => values.get(key) ?? '').join('');
    return { ...row, value: value.replace(COUNT_PATTERN, ''), parts: count };
  });
}

function isFurtherPart(key: string, values: ReadonlyMap<string, string>): boolean {
  return PART_KEY_PATTERN.test(key) && values.has(key.replace(PART_KEY_PATTERN, ''));
}

/** Writes all characters beyond ASCII as escapes, so that a text can be split anywhere. */
function encodeNonAscii(json: string): string {
  return json.replace(
    /[\u0080-\uffff]/g,
    (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}
