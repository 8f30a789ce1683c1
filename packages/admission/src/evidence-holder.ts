import { RemoteClock } from '@currantgap/tasks';
import type { AdmissionEvidence } from './evidence.ts';

/** Milliseconds after its computation at which evidence expires. */
export const EVIDENCE_VALIDITY_MS = 1_000;

/** Evidence as a node received it. Times are milliseconds on the node's monotonic clock. */
export interface HeldEvidence {
  readonly evidence: AdmissionEvidence;
  /** When the owner computed it; when it was received if its owner names no time. */
  readonly computedAt: number;
  readonly expiresAt: number;
}

/** Keeps the latest evidence of the newest owner. */
export class EvidenceHolder {
  #held: HeldEvidence | undefined;
  /** Clock of the newest owner. */
  #clock = new RemoteClock();

  /** The latest evidence, also after it has expired. */
  get held(): HeldEvidence | undefined {
    return this.#held;
  }

  /** Replaces the evidence; returns false if it comes from an owner that was succeeded. */
  accept(evidence: AdmissionEvidence, now: number): boolean {
    const heldEpoch = this.#held?.evidence.epoch ?? 0;
    if (evidence.epoch < heldEpoch) return false;
    if (evidence.epoch > heldEpoch) this.#clock = new RemoteClock();
    const computedAt = this.#computeLocalTime(evidence.computedAt, now);
    this.#held = { evidence, computedAt, expiresAt: computedAt + EVIDENCE_VALIDITY_MS };
    return true;
  }

  #computeLocalTime(ownerMs: number | undefined, now: number): number {
    if (ownerMs === undefined) return now;
    this.#clock.record(ownerMs, now);
    return this.#clock.computeLocalTime(ownerMs);
  }
}
