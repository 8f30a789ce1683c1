import { AttemptPhase } from '@currantgap/jobs';
import { TargetState } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { Orders } from './orders.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Moves work away from targets that announced their end. */
export class Drainer {
  readonly #context: OwnerContext;
  readonly #orders: Orders;

  constructor(context: OwnerContext, orders: Orders) {
    this.#context = context;
    this.#orders = orders;
  }

  /** Stops what would not end by itself in the time that is left. */
  sweep(): void {
    for (const target of this.#context.fleet.targets) {
      if (target.entry.state !== TargetState.Draining) continue;
      target.drainingSince ??= this.#context.clock.now;
      for (const assignment of [...target.assignments]) this.#check(target, assignment);
    }
  }

  #check(target: TargetRecord, assignment: Assignment): void {
    const { clock, durations, bounds } = this.#context;
    const { task, attempt } = assignment;
    if (attempt.phase !== AttemptPhase.Running) return;
    const step = task.step.definition;
    if (step.isPersistent) {
      this.#orders.stop(assignment, 'target drains');
      return;
    }
    if (!step.isCheckpointing) return;
    const elapsedMs = clock.now - attempt.startedAt;
    const neededMs = durations.estimateTaskMs(task.step.job.stored.route, step) - elapsedMs;
    const passedMs = clock.now - (target.drainingSince ?? clock.now);
    const leftMs = (target.entry.remainingMs ?? 0) - passedMs;
    if (neededMs > leftMs && leftMs < bounds.stopMs * 2) {
      this.#orders.stop(assignment, 'target drains');
    }
  }
}
