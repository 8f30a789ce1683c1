import type { Step } from '@currantgap/model';
import { TaskKind } from './task-kind.ts';

/** Upper bound of the kinds that are kept of a route; all of them fit into a row of the store. */
export const MAXIMUM_KINDS = 64;
/** Upper bound of the characters of an image's name that tell kinds apart. */
const MAXIMUM_IMAGE_LENGTH = 64;

/** Kinds of the tasks of a route: all with an estimate, by image, and by the shape of the step. */
export class RouteKinds {
  readonly #kinds = new Map<string, TaskKind>();
  #revision = 0;

  get kinds(): Iterable<TaskKind> {
    return this.#kinds.values();
  }

  /** Number that changes whenever another kind may be the narrowest one of a step. */
  get revision(): number {
    return this.#revision;
  }

  /** Weight of what was observed of the route. */
  get weight(): number {
    let weight = 0;
    for (const { histogram } of this.#kinds.values()) weight = Math.max(weight, histogram.total);
    return weight;
  }

  /** Finds the narrowest known kind of a step's tasks. */
  findKind(step: Step): TaskKind | undefined {
    for (let path = buildPath(step); path.length > 0; path = buildWiderPath(path)) {
      const known = this.#kinds.get(JSON.stringify(path));
      if (known !== undefined) return known;
    }
    return undefined;
  }

  /** Gets the narrowest kind of a step's tasks. */
  getKind(step: Step): TaskKind {
    return this.getByPath(buildPath(step));
  }

  /** Gets a kind by its path, the widest kind first; an empty name stands for no kind. */
  getByPath(path: readonly string[]): TaskKind {
    const key = JSON.stringify(path);
    const known = this.#kinds.get(key);
    if (known !== undefined) return known;
    const widerPath = buildWiderPath(path);
    const parent = widerPath.length === 0 ? undefined : this.getByPath(widerPath);
    const created = new TaskKind(path, parent);
    this.#kinds.set(key, created);
    this.#revision += 1;
    if (this.#kinds.size > MAXIMUM_KINDS) this.#dropLightest(created);
    return created;
  }

  /** Drops the kind of which least is known, of those to which no narrower one belongs. */
  #dropLightest(created: TaskKind): void {
    const wider = new Set([...this.#kinds.values()].map(({ parent }) => parent));
    let least = Infinity;
    let lightest: string | undefined;
    for (const [key, kind] of this.#kinds) {
      if (kind === created || kind.path.length <= 1 || wider.has(kind)) continue;
      if (kind.histogram.total >= least) continue;
      least = kind.histogram.total;
      lightest = key;
    }
    if (lightest !== undefined) this.#kinds.delete(lightest);
  }
}

function buildPath(step: Step): string[] {
  return [
    step.estimatedMs > 0 ? 'declared' : 'undeclared',
    step.image?.slice(0, MAXIMUM_IMAGE_LENGTH) ?? '',
    describeShape(step),
  ];
}

function buildWiderPath(path: readonly string[]): string[] {
  const wider = path.slice(0, -1);
  while (wider.at(-1) === '') wider.pop();
  return wider;
}

/** Describes what distinguishes a step's tasks: the octave of the estimate and how they run. */
function describeShape({ estimatedMs, after, isGang }: Step): string {
  const octave = estimatedMs > 0 ? Math.round(Math.log2(estimatedMs)) : 0;
  return `${octave}${after.length > 0 ? ' after' : ''}${isGang ? ' gang' : ''}`;
}
