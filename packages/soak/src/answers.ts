import type {
  RunHistory,
  StandinTargetFailure,
  StoreFailure,
  SubmissionResponse,
} from '@currantgap/standins';
import type { SubmissionRecord } from './invariants.ts';
import { NodeFailure, type TargetReturn, type TargetSeries } from './plan.ts';

/** One request and what its caller received; times are monotonic, in milliseconds. */
export interface Answer {
  readonly node: string;
  /** Submission that the request names; empty for a count. */
  readonly id: string;
  /** Change whose route and key the request used; undefined for the permanent ones. */
  readonly change: number | undefined;
  readonly startedAt: number;
  readonly endedAt: number;
  /** Whether every node had to know the route and the key. */
  readonly isConfigured: boolean;
  readonly response: SubmissionResponse;
}

/** A period in which a node, a target or the store was disturbed; times are monotonic, in milliseconds. */
export interface Disturbance {
  /** Name of the node, id of the target, or `STORE`. */
  readonly subject: string;
  readonly kind: NodeFailure | StoreFailure | StandinTargetFailure | TargetReturn | TargetSeries;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** What callers and targets observed beside the answers. */
export interface Observations {
  readonly submissions: readonly SubmissionRecord[];
  readonly runHistory: RunHistory;
  readonly disturbances: readonly Disturbance[];
}

/** Subject of the disturbances of the store. */
export const STORE = 'store';
/** Milliseconds after a disturbance until guarantees with a time bound hold again. */
const CONTACT_MS = 3_000;
/** Milliseconds after which an accepted submission is counted. */
const COUNTED_AFTER_MS = 5_000;
/** Milliseconds after its last byte by which a process has read a request. */
const READ_MS = 200;
const MAXIMUM_LINES = 8;

/** Whether there was no such disturbance in the period and in the contact time before it. */
function isCalm(
  disturbances: readonly Disturbance[],
  subject: string,
  period: { readonly startedAt: number; readonly endedAt: number },
  kinds?: readonly Disturbance['kind'][],
): boolean {
  return !disturbances.some(
    (disturbance) =>
      disturbance.subject === subject &&
      kinds?.includes(disturbance.kind) !== false &&
      disturbance.startedAt <= period.endedAt &&
      disturbance.endedAt >= period.startedAt - CONTACT_MS,
  );
}

/** Checks that each request has the answer that belongs to it; returns one line per violation. */
export function findWrongAnswers(answers: readonly Answer[], observations: Observations): string[] {
  const lines = answers.flatMap((answer) => {
    const fault = findFault(answer, observations);
    if (fault === undefined) return [];
    const { node, id, change, startedAt, endedAt, response } = answer;
    const request = id === '' ? `count${change === undefined ? '' : ` of change ${change}`}` : id;
    const times = `${Math.round(startedAt)} to ${Math.round(endedAt)} ms`;
    return [`${node} answered ${request} with ${response.status}: ${fault}; ${times}`];
  });
  const more = lines.length - MAXIMUM_LINES;
  return more > 0 ? [...lines.slice(0, MAXIMUM_LINES), `and ${more} more answers`] : lines;
}

function findFault(answer: Answer, observations: Observations): string | undefined {
  const { node, id, isConfigured, response } = answer;
  const { disturbances, submissions } = observations;
  const { status, waiting, isCut } = response;
  if (isCut) return findCut(answer, disturbances);
  if (status === 200 && (id === '') !== (waiting !== undefined)) return 'the body is not its own';
  if (status === 200 && id !== '' && !submissions.some((submission) => submission.id === id))
    return 'nobody submitted it';
  if (status === 410) return findLoss(answer, submissions);
  if (status === 404 || status === 401) {
    const isUndisturbed = [node, STORE].every((subject) => isCalm(disturbances, subject, answer));
    return isConfigured && isUndisturbed ? 'its route and key are configured' : undefined;
  }
  return findMiscount(answer, observations);
}

/** Only the end of a process by SIGKILL may cut a request that it has read. */
function findCut(answer: Answer, disturbances: readonly Disturbance[]): string | undefined {
  const { node, endedAt, response } = answer;
  const heldMs = Math.round(endedAt - (response.sentAt ?? endedAt));
  const kinds = [NodeFailure.Kill, NodeFailure.Pause];
  if (heldMs <= READ_MS || !isCalm(disturbances, node, answer, kinds)) return undefined;
  return `its connection was cut ${heldMs} ms after it was sent`;
}

/** A submission that was accepted and not cancelled is known. */
function findLoss(
  { id, startedAt, endedAt }: Answer,
  submissions: readonly SubmissionRecord[],
): string | undefined {
  if (id === '') return 'it names no submission';
  const submission = submissions.find((candidate) => candidate.id === id);
  const { acceptedAt = Infinity, cancelSentAt = Infinity } = submission ?? {};
  return acceptedAt < startedAt && endedAt < cancelSentAt ? 'it was accepted' : undefined;
}

/** A node in touch counts at least half of the submissions that have waited for some time. */
function findMiscount(answer: Answer, observations: Observations): string | undefined {
  const { node, change, startedAt, endedAt, response } = answer;
  const { submissions, runHistory, disturbances } = observations;
  const { waiting } = response;
  if (waiting === undefined || change !== undefined) return undefined;
  const { length } = submissions.filter(
    ({ id, acceptedAt = Infinity, cancelSentAt = Infinity }) =>
      acceptedAt < startedAt - COUNTED_AFTER_MS &&
      endedAt < cancelSentAt &&
      !runHistory.listRuns(id).some((run) => run.startedAt <= endedAt),
  );
  if (2 * waiting >= length || !isCalm(disturbances, node, answer)) return undefined;
  return `${waiting} are said to wait, ${length} have waited for ${COUNTED_AFTER_MS} ms`;
}
