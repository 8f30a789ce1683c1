import type { Configuration, Team } from '@currantgap/model';
import { Section } from './finding.ts';

/** How an entry differs between two configurations. */
export enum ChangeKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** A difference between two configurations. */
export interface Change {
  readonly kind: ChangeKind;
  readonly section: Section;
  readonly name: string;
  /** Changed fields as `field: before -> after`; empty for added and removed entries. */
  readonly fields: readonly string[];
}

type Entry = Readonly<Record<string, unknown>>;

/** Lists what differs between the configuration in force and the one that is to follow. */
export function compareConfigurations(before: Configuration, after: Configuration): Change[] {
  return [
    ...compareEntries(Section.Routes, before.routes, after.routes),
    ...compareEntries(Section.Services, before.services, after.services),
    ...compareEntries(Section.Teams, before.teams.map(removeKeys), after.teams.map(removeKeys)),
    ...compareKeys(before.teams, after.teams),
    ...compareEntries(
      Section.Limits,
      [{ name: 'connections', ...before.limits }],
      [{ name: 'connections', ...after.limits }],
    ),
  ];
}

function compareEntries(
  section: Section,
  before: readonly { readonly name: string }[],
  after: readonly { readonly name: string }[],
): Change[] {
  const names = new Set([...before, ...after].map(({ name }) => name));
  return [...names].flatMap((name): Change[] => {
    const previous = before.find((entry) => entry.name === name);
    const next = after.find((entry) => entry.name === name);
    if (previous === undefined) return [{ kind: ChangeKind.Added, section, name, fields: [] }];
    if (next === undefined) return [{ kind: ChangeKind.Removed, section, name, fields: [] }];
    const fields = compareFields({ ...previous }, { ...next });
    return fields.length === 0 ? [] : [{ kind: ChangeKind.Changed, section, name, fields }];
  });
}

function compareFields(before: Entry, after: Entry): string[] {
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].flatMap((name) => {
    const [previous, next] = [formatValue(before[name]), formatValue(after[name])];
    return previous === next ? [] : [`${name}: ${previous} -> ${next}`];
  });
}

/** Keys are secrets: only their number is shown. */
function compareKeys(before: readonly Team[], after: readonly Team[]): Change[] {
  return after.flatMap(({ name, keys }): Change[] => {
    const previous = before.find((team) => team.name === name);
    if (previous === undefined) return [];
    const granted = keys.filter((key) => !previous.keys.includes(key)).length;
    const withdrawn = previous.keys.filter((key) => !keys.includes(key)).length;
    if (granted + withdrawn === 0) return [];
    const fields = [`keys: ${granted} granted, ${withdrawn} withdrawn`];
    return [{ kind: ChangeKind.Changed, section: Section.Teams, name, fields }];
  });
}

function removeKeys({ name, weight, cap }: Team): Omit<Team, 'keys'> {
  return { name, weight, cap };
}

function formatValue(value: unknown): string {
  return value === undefined ? 'none' : JSON.stringify(value);
}
