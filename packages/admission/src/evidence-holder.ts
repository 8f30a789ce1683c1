import type { AdmissionEvidence } from './evidence.ts';

/** Milliseconds after its receipt at which evidence expires. */
export const EVIDENCE_VALIDITY_MS = 1_000;

/** Evidence as a node received it. Times are milliseconds on the node's monotonic clock. */
export interface HeldEvidence {
  readonly evidence: AdmissionEvidence;
  readonly receivedAt: number;
  readonly expiresAt: number;
}

/** Keeps the latest evidence of the newest owner. */
export class EvidenceHolder {
  #held: HeldEvidence | undefined;

  /** The latest evidence, also after it has expired. */
  get held(): HeldEvidence | undefined {
    return this.#held;
  }

  /** Replaces the evidence; returns false if it comes from an owner that was succeeded. */
  accept(evidence: AdmissionEvidence, now: number): boolean {
    if (this.#held !== undefined && evidence.epoch < this.#held.evidence.epoch) return false;
    this.#held = { evidence, receivedAt: now, expiresAt: now + EVIDENCE_VALIDITY_MS };
    return true;
  }
}
