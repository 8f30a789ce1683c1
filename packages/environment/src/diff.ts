import type { EnvironmentDocument } from './document.ts';

/** How an item differs between two documents. */
export enum DifferenceKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** A difference between two documents. */
export interface Difference {
  readonly kind: DifferenceKind;
  /** Section of the document, such as `teams`. */
  readonly section: string;
  readonly name: string;
  /** Previous value as JSON; empty for an added item. */
  readonly before: string;
  /** New value as JSON; empty for a removed item. */
  readonly after: string;
}

type Section = keyof EnvironmentDocument;
const SECTIONS: readonly Section[] = ['dataCentres', 'pools', 'services', 'teams', 'vms'];

/** Lists the differences between two documents; all items are new when `before` is undefined. */
export function compareDocuments(
  before: EnvironmentDocument | undefined,
  after: EnvironmentDocument,
): Difference[] {
  return SECTIONS.flatMap((section) =>
    compareSection(section, before?.[section] ?? [], after[section]),
  );
}

interface NamedItem {
  readonly name: string;
}

function compareSection(
  section: Section,
  before: readonly NamedItem[],
  after: readonly NamedItem[],
): Difference[] {
  const previousTexts = new Map(before.map((item) => [item.name, JSON.stringify(item)]));
  const differences: Difference[] = [];
  for (const item of after) {
    const text = JSON.stringify(item);
    const previous = previousTexts.get(item.name);
    previousTexts.delete(item.name);
    if (previous === text) continue;
    const kind = previous === undefined ? DifferenceKind.Added : DifferenceKind.Changed;
    differences.push({ kind, section, name: item.name, before: previous ?? '', after: text });
  }
  for (const [name, text] of previousTexts) {
    differences.push({ kind: DifferenceKind.Removed, section, name, before: text, after: '' });
  }
  return differences;
}
