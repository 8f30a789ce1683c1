import type { Step, StoredJob, Submission } from '@currantgap/model';

/** A step without what is empty, as it is stored. */
type CompactStep = Partial<Step> & Pick<Step, 'count' | 'request'>;

/** A step without anything but its tasks and what they ask for. */
export const EMPTY_STEP: Omit<Step, 'count' | 'request'> = {
  estimatedMs: 0,
  after: [],
  isCheckpointing: false,
  isGang: false,
  isSameRack: false,
  requiredLabel: undefined,
  dataRack: undefined,
  antiAffinity: 0,
  allowsDuplicates: false,
  isPersistent: false,
  image: undefined,
  latencyTargetMs: 0,
  isFiller: false,
  disruptionBudget: 0,
};

/** Encodes an accepted submission; empty fields are left out, since stored bytes are paid for. */
export function encodeStoredJob(job: StoredJob): string {
  const steps = job.submission.steps.map(encodeStep);
  return JSON.stringify({ ...job, submission: { ...job.submission, steps } });
}

/** Decodes an accepted submission. Throws on a row that is no JSON. */
export function decodeStoredJob(value: string): StoredJob {
  const job = JSON.parse(value) as StoredJob & { submission: { steps: CompactStep[] } };
  const steps = job.submission.steps.map((step): Step => ({ ...EMPTY_STEP, ...step }));
  const submission: Submission = { ...job.submission, steps };
  return { ...job, submission };
}

function encodeStep(step: Step): CompactStep {
  const entries = Object.entries(step).filter(([name, value]) => {
    const empty = EMPTY_STEP[name as keyof typeof EMPTY_STEP] as unknown;
    return Array.isArray(value) ? value.length > 0 : value !== empty;
  });
  return Object.fromEntries(entries) as unknown as CompactStep;
}
