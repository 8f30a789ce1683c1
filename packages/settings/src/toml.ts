import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { closest, distance } from 'fastest-levenshtein';
import { err, ok, type Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';

/** A TOML text and the file name to show in errors. */
export interface TomlSource {
  readonly fileName: string;
  readonly text: string;
}

/** Parses a TOML text and validates it against a schema. Returns all faults in the file. */
export function parseToml<T>(source: TomlSource, schema: z.ZodType<T>): Result<T, Fault[]> {
  const parsed = parseText(source);
  if (parsed.isErr()) return err([parsed.error]);
  const validated = schema.safeParse(parsed.value);
  if (validated.success) return ok(validated.data);
  return err(
    validated.error.issues.flatMap((issue) => describeIssue(source.fileName, issue, schema)),
  );
}

function parseText(source: TomlSource): Result<unknown, Fault> {
  try {
    return ok(parse(source.text));
  } catch (error) {
    const position = error instanceof TomlError ? `:${error.line}:${error.column}` : '';
    const reason = error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error);
    return err(
      createFault(
        FaultKind.InvalidSettings,
        `${source.fileName}${position}: ${reason}.`,
        'Correct the TOML at this place.',
      ),
    );
  }
}

function describeIssue(fileName: string, issue: z.core.$ZodIssue, schema: z.ZodType): Fault[] {
  const path = formatPath(issue.path);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => describeUnknownKey(fileName, path, key, schema));
  }
  const location = path === '' ? fileName : `${fileName}: ${path}`;
  return [
    createFault(
      FaultKind.InvalidSettings,
      `${location}: ${issue.message}.`,
      'Write a value as docs/configuration.md describes it.',
    ),
  ];
}

function describeUnknownKey(
  fileName: string,
  parentPath: string,
  key: string,
  schema: z.ZodType,
): Fault {
  const path = parentPath === '' ? key : `${parentPath}.${key}`;
  const nearest = findNearest(key, listKeys(schema));
  return createFault(
    FaultKind.InvalidSettings,
    `${fileName}: ${path}: unknown key.`,
    nearest === undefined ? 'Remove it.' : `Write "${nearest}" or remove it.`,
  );
}

/**
 * Finds the candidate with the smallest edit distance to `word`. Returns undefined when the
 * distance is greater than both 2 and a third of the length of `word`.
 */
export function findNearest(word: string, candidates: readonly string[]): string | undefined {
  if (candidates.length === 0) return undefined;
  const nearest = closest(word, candidates);
  return distance(word, nearest) <= Math.max(2, word.length / 3) ? nearest : undefined;
}

function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((part) => (typeof part === 'number' ? `[${part}]` : `.${String(part)}`))
    .join('')
    .replace(/^\./, '');
}

function listKeys(schema: z.ZodType): string[] {
  const keys = new Set<string>();
  const visit = (node: unknown): void => {
    if (typeof node !== 'object' || node === null) return;
    const definition = (node as { def?: Record<string, unknown> }).def;
    if (definition === undefined) return;
    const shape = definition.shape as Record<string, unknown> | undefined;
    for (const [key, child] of Object.entries(shape ?? {})) {
      keys.add(key);
      visit(child);
    }
    visit(definition.element);
    visit(definition.innerType);
  };
  visit(schema);
  return [...keys];
}
