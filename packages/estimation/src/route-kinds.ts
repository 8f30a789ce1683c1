import type { Step } from '@currantgap/model';
import { TaskKind } from './task-kind.ts';

/** Upper bound of the kinds that are kept of a route. */
const MAXIMUM_KINDS = 24;
/** Upper bound of the characters of an image's name that tell kinds apart. */
const MAXIMUM_IMAGE_LENGTH = 64;

/** Kinds of the tasks of a route: all with an estimate, by image, and by the shape of the step. */
export class RouteKinds {
  readonly #kinds = new Map<string, TaskKind>();

  get kinds(): Iterable<TaskKind> {
    return this.#kinds.values();
  }

  /** Gets the narrowest kind of a step's tasks. */
  getKind(step: Step): TaskKind {
    return this.getByPath([
      step.estimatedMs > 0 ? 'declared' : 'undeclared',
      step.image?.slice(0, MAXIMUM_IMAGE_LENGTH) ?? '',
      describeShape(step),
    ]);
  }

  /** Gets a kind by its path, the widest kind first; an empty name stands for no kind. */
  getByPath(path: readonly string[]): TaskKind {
    const key = JSON.stringify(path);
    const known = this.#kinds.get(key);
    if (known !== undefined) {
      this.#use(key, known);
      return known;
    }
    const parentPath = path.slice(0, -1);
    while (parentPath.at(-1) === '') parentPath.pop();
    const parent = parentPath.length === 0 ? undefined : this.getByPath(parentPath);
    const created = new TaskKind(path, parent);
    this.#use(key, created);
    if (this.#kinds.size > MAXIMUM_KINDS) this.#dropOldest();
    return created;
  }

  #use(key: string, kind: TaskKind): void {
    this.#kinds.delete(key);
    this.#kinds.set(key, kind);
  }

  /** Drops the kind whose last use is the oldest; wider kinds are used with each narrower one. */
  #dropOldest(): void {
    for (const [key, { path }] of this.#kinds) {
      if (path.length <= 1) continue;
      this.#kinds.delete(key);
      return;
    }
  }
}

/** Describes what distinguishes a step's tasks: the octave of the estimate and how they run. */
function describeShape({ estimatedMs, after, isGang }: Step): string {
  const octave = estimatedMs > 0 ? Math.round(Math.log2(estimatedMs)) : 0;
  return `${octave}${after.length > 0 ? ' after' : ''}${isGang ? ' gang' : ''}`;
}
