import {
  decideAdmission,
  ReturningCallers,
  type EvidenceHolder,
  type AdmissionRequest,
  type Refusal,
} from '@currantgap/admission';

const MILLISECONDS_PER_SECOND = 1_000;

/** Decides at the door which submissions are refused for load. */
export class AdmissionGate {
  readonly #evidence: EvidenceHolder;
  readonly #returning = new ReturningCallers();

  constructor(evidence: EvidenceHolder) {
    this.#evidence = evidence;
  }

  /** Decides whether a submission is refused; undefined if it is admitted. */
  decide(request: Omit<AdmissionRequest, 'patience'>, now: number): Refusal | undefined {
    const patience = this.#returning.computePatience(request.id, now);
    return decideAdmission({ ...request, patience }, this.#evidence.held, now);
  }

  /** Records that a refusal is stored, so that the caller is preferred when it returns. */
  recordRefused(id: string, retryAfterS: number, now: number): void {
    this.#returning.record(id, retryAfterS * MILLISECONDS_PER_SECOND, now);
  }

  /** Records that a submission is stored. */
  recordAccepted(id: string): void {
    this.#returning.forget(id);
  }
}
