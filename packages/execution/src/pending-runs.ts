import type { LeasedTarget } from '@currantgap/ownership';

/** Whether a target is gone, so that it runs neither a task, nor any task if there is no name. */
export type IsOutageOver = (target: LeasedTarget, task?: string) => boolean;

/** The targets whose reports are pending at one time, by the tasks that they may run. */
export class PendingRuns {
  readonly targets: readonly LeasedTarget[];
  /** Targets that may run any task of their service. */
  readonly #unrestricted: readonly LeasedTarget[];
  /** Targets that may run a task by its name. */
  readonly #byTask = new Map<string, LeasedTarget[]>();
  /** Names of tasks that may run on some target, by the name of the step. */
  readonly #byStep = new Map<string, Set<string>>();
  readonly #isOutageOver: IsOutageOver;

  constructor(targets: readonly LeasedTarget[], isOutageOver: IsOutageOver) {
    this.targets = targets;
    this.#isOutageOver = isOutageOver;
    this.#unrestricted = targets.filter(({ tasks }) => tasks === undefined);
    for (const target of targets) {
      const { tasks, unanswered = [] } = target;
      for (const task of tasks ?? unanswered) this.#addToStep(task);
      for (const task of tasks ?? []) {
        const others = this.#byTask.get(task);
        if (others === undefined) this.#byTask.set(task, [target]);
        else others.push(target);
      }
    }
  }

  /** Whether any task of these services may be running; a target that is gone counts unless `ignoresGone`. */
  isAnyAwaited(services: readonly string[], ignoresGone: boolean): boolean {
    return this.#unrestricted.some(
      (target) => services.includes(target.service) && !(ignoresGone && this.#isOutageOver(target)),
    );
  }

  /** Whether a task of these services may be running; a target that is gone counts unless `ignoresGone`. */
  isAwaited(task: string, services: readonly string[], ignoresGone: boolean): boolean {
    const isRelevant = (target: LeasedTarget): boolean =>
      !(ignoresGone && this.#isOutageOver(target, task));
    if (this.#byTask.get(task)?.some(isRelevant) === true) return true;
    return this.#unrestricted.some(
      (target) => services.includes(target.service) && isRelevant(target),
    );
  }

  /** Names of the tasks of a step that may run on targets which may not run any task. */
  getTasks(stepName: string): ReadonlySet<string> {
    return this.#byStep.get(stepName) ?? new Set();
  }

  #addToStep(task: string): void {
    const stepName = task.slice(0, task.lastIndexOf('.'));
    const known = this.#byStep.get(stepName);
    if (known === undefined) this.#byStep.set(stepName, new Set([task]));
    else known.add(task);
  }
}
