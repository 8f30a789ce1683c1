import type { Attempt, TaskRun } from '@currantgap/jobs';
import type { TargetEntry } from '@currantgap/model';
import { ResourceSum } from '@currantgap/scheduling';
import type { LeasedTarget } from '@currantgap/ownership';
import { TargetRecord, type Assignment } from './target-record.ts';

/** All targets, what is assigned to them and what each team has running. */
export class Fleet {
  readonly #targets = new Map<string, TargetRecord>();
  readonly #running = new Map<string, ResourceSum>();

  get targets(): Iterable<TargetRecord> {
    return this.#targets.values();
  }

  find(id: string): TargetRecord | undefined {
    return this.#targets.get(id);
  }

  /** Lists the registered targets of a service. */
  listPool(service: string): TargetRecord[] {
    const pool: TargetRecord[] = [];
    for (const target of this.#targets.values()) {
      if (target.isRegistered && target.entry.service === service) pool.push(target);
    }
    return pool;
  }

  /** Applies a registration. `lapsesAt` bounds leases that a predecessor may have granted there. */
  register(entry: TargetEntry, lapsesAt: number): TargetRecord {
    const known = this.#targets.get(entry.id);
    if (known === undefined) {
      const created = new TargetRecord(entry, lapsesAt);
      this.#targets.set(entry.id, created);
      return created;
    }
    if (known.entry.bornAt !== entry.bornAt) known.isLifetimeDoubtful = true;
    known.entry = entry;
    known.isRegistered = true;
    return known;
  }

  /** Marks a target whose entry is gone; it is forgotten once nothing can run there. */
  unregister(id: string): TargetRecord | undefined {
    const target = this.#targets.get(id);
    if (target !== undefined) target.isRegistered = false;
    return target;
  }

  /** Forgets a target without entry on which nothing is assigned. */
  forget(target: TargetRecord): void {
    if (!target.isRegistered && target.assignmentCount === 0) this.#targets.delete(target.id);
  }

  assign(target: TargetRecord, task: TaskRun, attempt: Attempt): void {
    task.attempts.push(attempt);
    target.assign(task, attempt);
    this.getRunning(task.step.job.stored.team).add(task.step.definition.request);
  }

  /** Removes a run that has ended or never began. */
  unassign(target: TargetRecord, assignment: Assignment): void {
    const { task, attempt } = assignment;
    if (target.unassign(task.name, attempt.run) === undefined) return;
    task.removeAttempt(attempt);
    this.getRunning(task.step.job.stored.team).remove(task.step.definition.request);
  }

  /** What a team has running on all targets. */
  getRunning(team: string): ResourceSum {
    const known = this.#running.get(team);
    if (known !== undefined) return known;
    const created = new ResourceSum();
    this.#running.set(team, created);
    return created;
  }

  /** Lists the targets that may run something, with the tasks of those that are silent. */
  listLeased(now: number): LeasedTarget[] {
    const leased: LeasedTarget[] = [];
    for (const target of this.#targets.values()) {
      if (!target.isRegistered && target.lapsesAt <= now) continue;
      const { id, entry } = target;
      if (target.silences === 0) leased.push({ id, service: entry.service });
      else leased.push({ id, service: entry.service, tasks: listTaskNames(target) });
    }
    return leased;
  }

  /** A renewal was written: the targets that it named, and did not call silent, may get work. */
  openWritten(written: readonly LeasedTarget[]): void {
    for (const { id, tasks } of written) {
      const target = this.#targets.get(id);
      if (target === undefined) continue;
      target.isListed = true;
      target.isSilenceWritten = tasks !== undefined;
    }
  }
}

function listTaskNames(target: TargetRecord): string[] {
  return [...target.assignments].map(({ task }) => task.name);
}
