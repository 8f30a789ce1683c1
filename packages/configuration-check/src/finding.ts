/** Section of a configuration. */
export enum Section {
  Routes = 'routes',
  Services = 'services',
  Teams = 'teams',
  Limits = 'limits',
}

/** How much a finding matters. */
export enum Severity {
  /** The configuration does not do what it says. */
  Error = 'error',
  /** The configuration can be meant like this, but seldom is. */
  Warning = 'warning',
}

/** Something that is wrong with one entry of a configuration. */
export interface Finding {
  readonly severity: Severity;
  readonly section: Section;
  /** Name of the entry; for limits, the name of the limit. */
  readonly name: string;
  /** The problem and how to resolve it, one sentence each. */
  readonly message: string;
}
