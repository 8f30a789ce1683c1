import { Specification, type Step } from './explore.ts';

const TARGETS = 2;
const STARTS_PER_OWNER = 2;
const RUNS_PER_EPOCH = 10;

/** Rules of copies that a check omits; each omission must lead to a violation. */
export enum CopyFault {
  None = 'none',
  /** The end of a run is applied although another run of the task was done before. */
  ApplySecondEnd = 'apply-second-end',
  /** A copy of a running task is started although the end of the task is noted. */
  CopyAfterEnd = 'copy-after-end',
}

interface CopyTarget {
  readonly highestToken: number;
  /** Number of the run in progress; 0 if there is none. */
  readonly run: number;
  /** Number of a run that is done and whose end is not acknowledged; 0 if there is none. */
  readonly unacknowledgedRun: number;
  /** Highest run number that ended or was stopped; runs up to it cannot start again. */
  readonly highestEndedRun: number;
}

interface CopyState {
  /** Fencing token of the owner. */
  readonly owner: number;
  /** Whether each target has reported to the owner. */
  readonly hasReported: readonly boolean[];
  /** Run that the owner has assigned to each target; 0 for none. */
  readonly assigned: readonly number[];
  readonly starts: number;
  /** Whether the owner knows that the task is done. */
  readonly isDone: boolean;
  readonly isDoneInLedger: boolean;
  readonly isAcknowledged: boolean;
  /** Ends that were counted for the task. */
  readonly appliedEnds: number;
  readonly targets: readonly CopyTarget[];
  readonly requests: readonly { target: number; run: number; token: number }[];
  readonly violation: string | undefined;
}

interface CopyStep extends Step {
  readonly apply: (state: CopyState) => CopyState;
}

/**
 * Specification of copies: one task that allows duplicates, two targets, and an owner whose successor
 * adopts both runs. Start requests may be late or lost. The ledger is written before an end is
 * acknowledged, and a successor waits until both targets have reported, as in the take-over.
 */
export class CopySpecification extends Specification<CopyState, CopyStep> {
  readonly name: string;
  readonly #fault: CopyFault;

  constructor(fault: CopyFault) {
    super();
    this.#fault = fault;
    this.name = `copies (${fault})`;
  }

  get initial(): CopyState {
    return {
      owner: 0,
      hasReported: Array.from({ length: TARGETS }, () => true),
      assigned: Array.from({ length: TARGETS }, () => 0),
      starts: 0,
      isDone: false,
      isDoneInLedger: false,
      isAcknowledged: false,
      appliedEnds: 0,
      targets: Array.from({ length: TARGETS }, () => ({
        highestToken: 0,
        run: 0,
        unacknowledgedRun: 0,
        highestEndedRun: 0,
      })),
      requests: [],
      violation: undefined,
    };
  }

  listSteps(state: CopyState): CopyStep[] {
    const steps: CopyStep[] = [];
    for (const request of state.requests) {
      const label = `start ${request.run} at t${request.target}`;
      steps.push({ type: `${label} arrives`, apply: (s) => deliver(s, request) });
      steps.push({ type: `${label} is lost`, apply: (s) => removeRequest(s, request) });
    }
    for (const [index, target] of state.targets.entries()) {
      if (target.run > 0) steps.push({ type: `t${index} ends`, apply: (s) => end(s, index) });
      steps.push({ type: `t${index} reports`, apply: (s) => this.#report(s, index) });
      if (this.#canStart(state, index))
        steps.push({ type: `owner ${state.owner} starts on t${index}`, apply: start(index) });
      if (state.isDone && (state.assigned[index] ?? 0) > 0)
        steps.push({ type: `t${index} answers a stop`, apply: (s) => stop(s, index) });
    }
    if (state.isDone && !state.isDoneInLedger)
      steps.push({ type: 'the end is written', apply: (s) => ({ ...s, isDoneInLedger: true }) });
    if (state.owner === 0) steps.push({ type: 'take over', apply: takeOver });
    return steps;
  }

  apply(state: CopyState, step: CopyStep): CopyState {
    return step.apply(state);
  }

  encode(state: CopyState): string {
    return JSON.stringify(state);
  }

  findViolation(state: CopyState): string | undefined {
    if (state.appliedEnds > 1) return 'two ends of one task were applied';
    return state.violation;
  }

  /** A first run, or a copy of the one run that there is; none once the end is noted. */
  #canStart(state: CopyState, index: number): boolean {
    if (!state.hasReported.every(Boolean) || state.starts >= STARTS_PER_OWNER) return false;
    if ((state.assigned[index] ?? 0) > 0) return false;
    const isCopy = state.assigned.some((run) => run > 0);
    return !state.isDone || (isCopy && this.#fault === CopyFault.CopyAfterEnd);
  }

  /** Adopts the run that a target reports and applies its end, which is acknowledged once stored. */
  #report(state: CopyState, index: number): CopyState {
    const target = state.targets[index];
    if (target === undefined || target.highestToken > state.owner) return state;
    const next = setTarget(
      { ...state, hasReported: setAt(state.hasReported, index, true) },
      index,
      { highestToken: state.owner },
    );
    if (target.unacknowledgedRun > 0) return this.#applyEnd(next, index);
    if (target.run === 0) return next;
    return { ...next, assigned: setAt(next.assigned, index, target.run) };
  }

  #applyEnd(state: CopyState, index: number): CopyState {
    const isFirst = !state.isDone;
    const hasAssigned = (state.assigned[index] ?? 0) > 0;
    const isCounted = isFirst || (hasAssigned && this.#fault === CopyFault.ApplySecondEnd);
    const next = {
      ...state,
      assigned: setAt(state.assigned, index, 0),
      isDone: true,
      appliedEnds: state.appliedEnds + (isCounted && !state.isDoneInLedger ? 1 : 0),
    };
    if (!state.isDoneInLedger) return next;
    return { ...setTarget(next, index, { unacknowledgedRun: 0 }), isAcknowledged: true };
  }
}

function start(target: number): (state: CopyState) => CopyState {
  return (state) => {
    const starts = state.starts + 1;
    const run = (state.owner + 1) * RUNS_PER_EPOCH + starts;
    return {
      ...state,
      starts,
      assigned: setAt(state.assigned, target, run),
      requests: [...state.requests, { target, run, token: state.owner }],
      // An order that a target carries out late is excused, but not one sent after the end.
      violation: state.isAcknowledged
        ? 'a run was ordered after the end of the task was acknowledged'
        : state.violation,
    };
  };
}

function deliver(state: CopyState, request: CopyState['requests'][number]): CopyState {
  const rest = removeRequest(state, request);
  const target = state.targets[request.target];
  if (target === undefined || request.token < target.highestToken) return rest;
  if (request.run <= target.highestEndedRun || target.run > 0) return rest;
  return setTarget(rest, request.target, { run: request.run, highestToken: request.token });
}

function removeRequest(state: CopyState, request: CopyState['requests'][number]): CopyState {
  return { ...state, requests: state.requests.filter((other) => other !== request) };
}

function end(state: CopyState, index: number): CopyState {
  const run = state.targets[index]?.run ?? 0;
  return setTarget(state, index, { run: 0, unacknowledgedRun: run, highestEndedRun: run });
}

function stop(state: CopyState, index: number): CopyState {
  const target = state.targets[index];
  const run = state.assigned[index] ?? 0;
  if (target === undefined || target.highestToken > state.owner) return state;
  const isListed = target.unacknowledgedRun > 0;
  const released = isListed ? state : { ...state, assigned: setAt(state.assigned, index, 0) };
  return setTarget(released, index, {
    run: target.run === run ? 0 : target.run,
    highestEndedRun: Math.max(target.highestEndedRun, run),
    highestToken: state.owner,
  });
}

/** The successor reads the ledger and knows of no run until the targets report. */
function takeOver(state: CopyState): CopyState {
  const isApplied = state.isDoneInLedger ? state.appliedEnds : 0;
  return {
    ...state,
    owner: 1,
    hasReported: state.hasReported.map(() => false),
    assigned: state.assigned.map(() => 0),
    starts: 0,
    isDone: state.isDoneInLedger,
    appliedEnds: isApplied,
  };
}

function setTarget(state: CopyState, index: number, change: Partial<CopyTarget>): CopyState {
  const target = state.targets[index];
  if (target === undefined) return state;
  return { ...state, targets: setAt(state.targets, index, { ...target, ...change }) };
}

function setAt<T>(values: readonly T[], index: number, value: T): readonly T[] {
  return values.map((other, at) => (at === index ? value : other));
}
