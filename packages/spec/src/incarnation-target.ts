import {
  setOwner,
  setTarget,
  type Call,
  type IncarnationBounds,
  type IncarnationState,
} from './incarnation-state.ts';

/** How a target has taken a call. */
export enum Taken {
  CarriedOut = 'carried-out',
  /** The token is too low, so the call has no effect. */
  Fenced = 'fenced',
  /** The deadline has passed, so the call has no effect. */
  Late = 'late',
  /** The run was stopped or has ended, but the deadline is taken. */
  Old = 'old',
}

/** Carries a call out on the present incarnation. */
export function deliver(
  state: IncarnationState,
  { run, token, leaseEndsAt }: Call,
  { maximumLease }: IncarnationBounds,
): { readonly state: IncarnationState; readonly taken: Taken } {
  const { now, target } = state;
  if (token < target.token) return { state, taken: Taken.Fenced };
  const seen = setTarget(state, { token });
  if (leaseEndsAt < now) return { state: seen, taken: Taken.Late };
  const extended = Math.max(target.leaseEndsAt, Math.min(leaseEndsAt, now + maximumLease));
  const leased = setTarget(seen, { leaseEndsAt: extended });
  if (run === 0 || target.runs.includes(run)) return { state: leased, taken: Taken.CarriedOut };
  if (run <= target.highestEndedRun) return { state: leased, taken: Taken.Old };
  const runs = [...target.runs, run].sort((a, b) => a - b);
  return { state: setTarget(leased, { runs }), taken: Taken.CarriedOut };
}

/** Carries a stop out, which ends the run and keeps it from starting later. */
export function deliverStop(state: IncarnationState, run: number, token: number): IncarnationState {
  const { target } = state;
  return setTarget(state, {
    token: Math.max(token, target.token),
    runs: target.runs.filter((other) => other !== run),
    highestEndedRun: Math.max(target.highestEndedRun, run),
  });
}

/** Ends the present incarnation with everything that runs on it. */
export function crash(state: IncarnationState): IncarnationState {
  return setTarget(state, { isUp: false, canReturn: false, runs: [], leaseEndsAt: -Infinity });
}

/** Starts the next incarnation, whose clock is behind the deadlines of the calls under way. */
export function start(state: IncarnationState, bounds: IncarnationBounds): IncarnationState {
  const { now, target, owner } = state;
  const lag = now - target.bornAt;
  const incarnation = target.incarnation + 1;
  const calls = state.calls
    .filter(({ lastIncarnation }) => lastIncarnation >= incarnation)
    .map((call) => ({
      ...call,
      leaseEndsAt: Math.min(call.leaseEndsAt + lag, now + computeHorizon(bounds)),
    }));
  const addLag = (clockLag: number): number => Math.min(clockLag + lag, computeHorizon(bounds));
  const answer =
    state.answer === undefined
      ? undefined
      : { ...state.answer, clockLag: addLag(state.answer.clockLag) };
  const lagged = setOwner({ ...state, calls, answer }, { clockLag: addLag(owner.clockLag) });
  return setTarget(lagged, {
    incarnation,
    isUp: true,
    bornAt: now,
    token: 0,
    leaseEndsAt: -Infinity,
    highestEndedRun: 0,
  });
}

/** Advances the time by one step. Everything ends whose lease is over. */
export function advance(state: IncarnationState, bounds: IncarnationBounds): IncarnationState {
  const now = state.now + 1;
  const { target, answer } = state;
  const isOver = target.leaseEndsAt < now;
  const isAnswerLost = answer !== undefined && now > answer.sentAt + bounds.answerDelay;
  return {
    ...state,
    now,
    target: {
      ...target,
      canReturn: true,
      bornAt: Math.max(target.bornAt, now - computeHorizon(bounds)),
      runs: isOver ? [] : target.runs,
      highestEndedRun: isOver
        ? Math.max(target.highestEndedRun, ...target.runs)
        : target.highestEndedRun,
    },
    calls: state.calls.filter(({ sentAt }) => now <= sentAt + bounds.latestExecution),
    answer: isAnswerLost ? undefined : answer,
  };
}

/** Computes the time beyond which differences have no effect: no lease lasts longer. */
export function computeHorizon({ latestExecution, maximumLease }: IncarnationBounds): number {
  return latestExecution + maximumLease + 1;
}
