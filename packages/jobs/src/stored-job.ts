import type { Step, StoredJob, Submission } from '@currantgap/model';

/** A step as it is stored: fields with their default value are left out. */
type CompactStep = Partial<Step> & Pick<Step, 'count' | 'request'>;

/** Default values of the optional fields of a step. */
export const STEP_DEFAULTS: Omit<Step, 'count' | 'request'> = {
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

/** Encodes an accepted submission. Default values are left out, since stored bytes are billed. */
export function encodeStoredJob(job: StoredJob): string {
  const steps = job.submission.steps.map(encodeStep);
  return JSON.stringify({ ...job, submission: { ...job.submission, steps } });
}

/** Decodes an accepted submission. Throws SyntaxError if `value` is not JSON. */
export function decodeStoredJob(value: string): StoredJob {
  const job = JSON.parse(value) as StoredJob & { submission: { steps: CompactStep[] } };
  const steps = job.submission.steps.map((step): Step => ({ ...STEP_DEFAULTS, ...step }));
  const submission: Submission = { ...job.submission, steps };
  return { ...job, submission };
}

function encodeStep(step: Step): CompactStep {
  const entries = Object.entries(step).filter(([name, value]) => {
    const defaultValue = STEP_DEFAULTS[name as keyof typeof STEP_DEFAULTS] as unknown;
    return Array.isArray(value) ? value.length > 0 : value !== defaultValue;
  });
  return Object.fromEntries(entries) as unknown as CompactStep;
}
