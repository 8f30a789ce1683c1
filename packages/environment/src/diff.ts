import type { EnvironmentDocument } from './document.ts';

/** How an item differs between two documents. */
export enum DifferenceKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** One difference between two documents. */
export interface Difference {
  readonly kind: DifferenceKind;
  /** The section of the document, such as `teams`. */
  readonly section: string;
  readonly name: string;
  readonly before: string;
  readonly after: string;
}

type Section = keyof EnvironmentDocument;
const SECTIONS: readonly Section[] = ['dataCentres', 'pools', 'services', 'teams', 'vms'];

/** Lists what applying `after` would change of `before`. */
export function compareDocuments(
  before: EnvironmentDocument | undefined,
  after: EnvironmentDocument,
): Difference[] {
  return SECTIONS.flatMap((section) =>
    compareSection(section, before?.[section] ?? [], after[section]),
  );
}

interface Named {
  readonly name: string;
}

function compareSection(
  section: Section,
  before: readonly Named[],
  after: readonly Named[],
): Difference[] {
  const old = new Map(before.map((item) => [item.name, JSON.stringify(item)]));
  const differences: Difference[] = [];
  for (const item of after) {
    const text = JSON.stringify(item);
    const previous = old.get(item.name);
    old.delete(item.name);
    if (previous === text) continue;
    const kind = previous === undefined ? DifferenceKind.Added : DifferenceKind.Changed;
    differences.push({ kind, section, name: item.name, before: previous ?? '', after: text });
  }
  for (const [name, text] of old) {
    differences.push({ kind: DifferenceKind.Removed, section, name, before: text, after: '' });
  }
  return differences;
}
