import { computeCriticalPathMs } from '@currantgap/jobs';
import type { Resources, Route, Step, Submission } from '@currantgap/model';
import type { AdmissionEvidence, TeamWait } from './evidence.ts';
import type { HeldEvidence } from './evidence-holder.ts';

/** Multiple of the latency objective up to which a late completion still counts. */
const LATE_LIMIT_FACTOR = 3;
/** Assumed duration in milliseconds of a task for which the client gave no estimate. */
const DEFAULT_TASK_MS = 1_000;
const MINIMUM_RETRY_MS = 1_000;
const MAXIMUM_RETRY_MS = 60_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Why a submission is refused; the values are labels of metrics and fields of log lines. */
export enum RefusalReason {
  /** It cannot end within the late limit. */
  Hopeless = 'hopeless',
  /** No VM can hold one of its tasks. */
  TooLarge = 'too-large',
  /** Its team is beyond its share of a full pool, and it would miss its latency objective. */
  BeyondShare = 'beyond-share',
}

/** A submission that asks for admission. */
export interface AdmissionRequest {
  readonly id: string;
  readonly route: Route;
  readonly team: string;
  readonly submission: Submission;
  /** Factor of the thresholds: 1 for a first attempt, more for a caller who was refused before. */
  readonly patience: number;
}

/** A refusal and what it was decided on. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** Expected time until the submission could start. */
  readonly waitMs: number;
  readonly evidenceAgeMs: number;
  /** When to come back, in whole seconds. */
  readonly retryAfterS: number;
}

/**
 * Decides whether a submission is refused for load; undefined if it is admitted. `now` is a time on
 * the monotonic clock of the evidence. Without evidence, and with evidence that has expired, every
 * submission is admitted.
 */
export function decideAdmission(
  request: AdmissionRequest,
  held: HeldEvidence | undefined,
  now: number,
): Refusal | undefined {
  if (held === undefined || now >= held.expiresAt || canWait(request.submission)) return undefined;
  const { route, submission, patience } = request;
  const pathMs = computeCriticalPathMs(submission.steps, estimateTaskMs);
  const objectiveMs = route.stretch * pathMs + route.latencyObjectiveMs;
  const team = findTeam(held.evidence, request);
  if (team === undefined || objectiveMs <= 0) return undefined;
  const waitMs = estimateWaitMs(team, route.priority, now - held.computedAt);
  const endMs = waitMs + pathMs;
  const build = (reason: RefusalReason, delayMs: number): Refusal => ({
    reason,
    waitMs,
    evidenceAgeMs: now - held.computedAt,
    retryAfterS: computeRetryAfterS(request.id, delayMs),
  });
  if (submission.steps.some((step) => !isHeldBy(held.evidence.largestTask, step.request)))
    return build(RefusalReason.TooLarge, MAXIMUM_RETRY_MS);
  const lateLimitMs = LATE_LIMIT_FACTOR * objectiveMs;
  if (endMs > patience * lateLimitMs) return build(RefusalReason.Hopeless, endMs - lateLimitMs);
  if (team.isBeyondShare && endMs > patience * objectiveMs)
    return build(RefusalReason.BeyondShare, endMs - objectiveMs);
  return undefined;
}

/** Whether a submission is served however late it starts. */
function canWait({ iterations, steps }: Submission): boolean {
  return iterations > 0 || steps.some((step) => step.isPersistent || step.isFiller);
}

function estimateTaskMs({ estimatedMs }: Step): number {
  return estimatedMs > 0 ? estimatedMs : DEFAULT_TASK_MS;
}

/** Finds the team's waits in the pool of the route; undefined if the pool is not contended. */
function findTeam(
  evidence: AdmissionEvidence,
  { route, team }: AdmissionRequest,
): TeamWait | undefined {
  const pool = evidence.pools.find(({ service }) => service === route.service);
  if (pool === undefined) return undefined;
  const known = pool.teams.find((entry) => entry.team === team);
  return known ?? { team, isBeyondShare: false, waits: [] };
}

/** Estimates the wait now: since the evidence was computed, work has arrived and been done. */
function estimateWaitMs({ waits }: TeamWait, priority: number, ageMs: number): number {
  const wait = waits.findLast((entry) => entry.priority <= priority);
  return wait === undefined ? 0 : Math.max(0, wait.waitMs + (wait.growth - 1) * ageMs);
}

function isHeldBy(largest: Resources, request: Resources): boolean {
  return (
    request.cpuMillis <= largest.cpuMillis &&
    request.memoryMb <= largest.memoryMb &&
    request.gpus <= largest.gpus
  );
}

/**
 * Computes when room for the submission is expected, in whole seconds. Callers that are refused
 * together are spread over as much time again, so that they do not return together.
 */
function computeRetryAfterS(id: string, delayMs: number): number {
  const earliestMs = Math.min(MAXIMUM_RETRY_MS, Math.max(MINIMUM_RETRY_MS, delayMs));
  return Math.ceil((earliestMs * (1 + hashToUnit(id))) / MILLISECONDS_PER_SECOND);
}

/** Hashes an id to a number from 0 to 1 by FNV-1a. */
function hashToUnit(id: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < id.length; index += 1) {
    hash = Math.imul(hash ^ id.charCodeAt(index), 0x01000193);
  }
  // FNV-1a leaves similar ids close together; this is the finalizer of MurmurHash3.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  hash ^= hash >>> 16;
  return (hash >>> 0) / 0x1_0000_0000;
}
