import type { Attempt, TaskRun } from '@currantgap/jobs';
import type { TargetEntry } from '@currantgap/model';
import { ResourceSum } from '@currantgap/scheduling';
import { TargetRecord, type Assignment } from './target-record.ts';

/** What is kept of a target that was forgotten. */
interface ForgottenTarget {
  /** Highest fencing token that the target may have seen in this term. */
  readonly token: number;
  /** Start of the incarnation that reported last, Unix milliseconds; undefined if none did. */
  readonly bornAt: number | undefined;
  /** Monotonic time of the last lease grant, in milliseconds; undefined if there was none. */
  readonly leaseGrantedAt: number | undefined;
  /** Its last registration. */
  readonly entry: TargetEntry;
}

/** All targets, the runs assigned to them and the resources that each team uses. */
export class Fleet {
  readonly #token: number;
  readonly #targets = new Map<string, TargetRecord>();
  readonly #byVm = new Map<string, Set<TargetRecord>>();
  readonly #running = new Map<string, ResourceSum>();
  readonly #cordonedVms = new Set<string>();
  /** Incarnations that are presumed to have ended, as Unix milliseconds of their start, by target id. */
  readonly #terminated = new Map<string, number>();
  /** Targets that were forgotten, by id. */
  readonly #forgotten = new Map<string, ForgottenTarget>();
  /** Monotonic times until which an order of an earlier owner may end the targets of a VM. */
  readonly #earlierOrders = new Map<string, number>();

  /** `token` is the fencing token of the owner's term. */
  constructor(token: number) {
    this.#token = token;
  }

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

  /**
   * Applies a registration; returns undefined if the incarnation is presumed to have ended.
   * `leasesExpireAt` is the latest expiry of leases that a predecessor may have granted on a new
   * target.
   */
  register(entry: TargetEntry, leasesExpireAt: number): TargetRecord | undefined {
    if (this.#terminated.get(entry.id) === entry.bornAt) return undefined;
    const known = this.#targets.get(entry.id);
    if (known === undefined) {
      const former = this.#forgotten.get(entry.id);
      const created = new TargetRecord(entry, leasesExpireAt, former?.token ?? this.#token);
      created.isCordoned = entry.vm !== undefined && this.#cordonedVms.has(entry.vm);
      if (former !== undefined) {
        created.bornAt = former.bornAt;
        created.leaseGrantedAt = former.leaseGrantedAt;
        created.fence.open();
      }
      this.#targets.set(entry.id, created);
      this.#addToVm(created);
      return created;
    }
    const hasRestarted = known.entry.bornAt !== entry.bornAt && known.bornAt !== entry.bornAt;
    if (hasRestarted) known.recordRegisteredRestart();
    this.#removeFromVm(known);
    known.entry = entry;
    known.isRegistered = true;
    known.endPresumedAt = undefined;
    this.#addToVm(known);
    return known;
  }

  /**
   * Lists the targets of a VM that may run tasks, whether or not the registry has an entry for them:
   * an entry expires while its target is cut off from the registry. There may be two: the registry
   * keeps the entry of a target for some seconds after it has ended, when the next one on the VM has
   * registered already.
   */
  listOnVm(vm: string): TargetRecord[] {
    return [...(this.#byVm.get(vm) ?? [])].filter((target) => !this.isTerminated(target));
  }

  /** Lists the tasks that may be active on targets, or done there, which is not applied yet. */
  listUnresolvedTasks(): ReadonlySet<string> {
    const names = new Set<string>();
    for (const { unknownTasks, unappliedTasks } of this.#targets.values()) {
      for (const name of unknownTasks) names.add(name);
      for (const name of unappliedTasks) names.add(name);
    }
    return names;
  }

  /** Records that the targets on a VM are ordered to end. */
  announceEnd(vm: string): void {
    for (const target of this.listOnVm(vm)) target.announceEnd();
  }

  /** Records that an earlier owner has ordered a VM, so that its targets may end until a monotonic time. */
  recordEarlierOrder(vm: string, until: number): void {
    this.#earlierOrders.set(vm, until);
  }

  /** Whether an incarnation has ended, or may have, as was announced or ordered. */
  hasAnnouncedEnd(target: TargetRecord, bornAt: number, now: number): boolean {
    const { vm } = target.entry;
    const orderedUntil = vm === undefined ? undefined : this.#earlierOrders.get(vm);
    return target.hasAnnouncedEnd(bornAt) || now < (orderedUntil ?? -Infinity);
  }

  /** Gives a VM no new work; this includes a target that registers there later. */
  cordon(vm: string): void {
    this.#cordonedVms.add(vm);
    for (const target of this.listOnVm(vm)) target.isCordoned = true;
  }

  /** Ends the cordon of a VM. */
  uncordon(vm: string): void {
    this.#cordonedVms.delete(vm);
    for (const target of this.listOnVm(vm)) target.isCordoned = false;
  }

  /** Whether a target is presumed to have ended, so that nothing runs on it. */
  isTerminated({ id, entry }: TargetRecord): boolean {
    return this.#terminated.get(id) === entry.bornAt;
  }

  /**
   * Unregisters a target whose VM was ordered away; later heartbeats of this incarnation are ignored. The
   * answer to the order does not say when it was carried out, so the target may be one that followed:
   * as long as the registry has its entry, a report of the same incarnation shows that it is up.
   */
  terminate(target: TargetRecord, now: number): void {
    if (target.isRegistered) target.endPresumedAt = now;
    target.isRegistered = false;
    target.fence.doubt();
    this.#terminated.set(target.id, target.entry.bornAt);
  }

  /** Registers a target again that was presumed to have ended and has reported since. */
  reinstate(target: TargetRecord): void {
    const { vm } = target.entry;
    this.#terminated.delete(target.id);
    target.endPresumedAt = undefined;
    target.isRegistered = true;
    target.isCordoned = vm !== undefined && this.#cordonedVms.has(vm);
  }

  /** Marks a target whose registry entry was removed; it is forgotten once no run is assigned. */
  unregister(id: string): TargetRecord | undefined {
    this.#terminated.delete(id);
    const target = this.#targets.get(id);
    if (target === undefined) return undefined;
    target.isRegistered = false;
    target.endPresumedAt = undefined;
    return target;
  }

  /**
   * Forgets a target that is not registered and has no assigned runs, but for what an incarnation that
   * registers later must be told apart by.
   */
  forget(target: TargetRecord): void {
    if (target.isRegistered || target.assignmentCount > 0) return;
    const { id, bornAt, entry, fence, leaseGrantedAt } = target;
    this.#targets.delete(id);
    this.#removeFromVm(target);
    this.#forgotten.set(id, { token: fence.token, bornAt, leaseGrantedAt, entry });
  }

  /**
   * Whether a target that the registry lacks has ended for good, because another one has registered on its VM
   * since.
   */
  isReplaced({ isRegistered, entry }: TargetRecord): boolean {
    return !isRegistered && this.#hasLater(entry);
  }

  /** Whether the same is known of a target by its id, which may have been forgotten. */
  isIdReplaced(id: string): boolean {
    const target = this.#targets.get(id);
    if (target !== undefined) return this.isReplaced(target);
    const forgotten = this.#forgotten.get(id);
    return forgotten !== undefined && this.#hasLater(forgotten.entry);
  }

  /** Assigns a run to a target and reserves its resources. */
  assign(target: TargetRecord, task: TaskRun, attempt: Attempt): void {
    task.addAttempt(attempt);
    target.assign(task, attempt);
    this.getRunning(task.step.job.stored.team).add(task.step.definition.request);
  }

  /** Removes a run that has ended or never began and releases its resources. */
  unassign(target: TargetRecord, assignment: Assignment): void {
    const { task, attempt } = assignment;
    if (target.unassign(task.name, attempt.run) === undefined) return;
    task.removeAttempt(attempt);
    this.getRunning(task.step.job.stored.team).remove(task.step.definition.request);
  }

  /** Gets the resources that a team's runs request on all targets. */
  getRunning(team: string): ResourceSum {
    const known = this.#running.get(team);
    if (known !== undefined) return known;
    const created = new ResourceSum();
    this.#running.set(team, created);
    return created;
  }

  /** Whether a later target is known on the VM of one. */
  #hasLater({ id, vm, bornAt }: TargetEntry): boolean {
    if (vm === undefined) return false;
    const others = [...(this.#byVm.get(vm) ?? [])].filter((other) => other.id !== id);
    return others.some(({ entry }) => entry.bornAt > bornAt);
  }

  #addToVm(target: TargetRecord): void {
    const { vm } = target.entry;
    if (vm === undefined) return;
    const targets = this.#byVm.get(vm) ?? new Set();
    this.#byVm.set(vm, targets.add(target));
  }

  #removeFromVm(target: TargetRecord): void {
    const { vm } = target.entry;
    if (vm === undefined) return;
    const targets = this.#byVm.get(vm);
    targets?.delete(target);
    if (targets?.size === 0) this.#byVm.delete(vm);
  }
}
