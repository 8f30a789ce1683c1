import type { HeldEvidence, AdmissionRequest, TeamWait } from '@currantgap/admission';
import { STEP_DEFAULTS } from '@currantgap/jobs';
import type { Resources, Route, Step } from '@currantgap/model';

export const CORE = 1_000;

export const ROUTE: Route = {
  name: 'checks',
  host: 'host.example',
  pathPrefix: '/checks/',
  service: 'kartes',
  priority: 0,
  maxAttempts: 2,
  stretch: 1.6,
  latencyObjectiveMs: 600,
  isPublic: false,
  advice: undefined,
};

export function createResources(cores: number, memoryMb = 0): Resources {
  return { cpuMillis: cores * CORE, memoryMb, gpus: 0 };
}

/** Creates a request for one task of one core and one second, so with an objective of 2.2 s. */
export function createRequest(
  changes: Partial<Omit<AdmissionRequest, 'submission'>> & {
    readonly step?: Partial<Step>;
    readonly iterations?: number;
  } = {},
): AdmissionRequest {
  const { step, iterations = 0, ...rest } = changes;
  const definition: Step = {
    ...STEP_DEFAULTS,
    count: 1,
    request: createResources(1, 100),
    estimatedMs: 1_000,
    ...step,
  };
  return {
    id: '00000000000000aa',
    route: ROUTE,
    team: 'kurzeme',
    submission: { spec: '', steps: [definition], iterations, firstRunAt: 0, intervalMs: 0 },
    patience: 1,
    ...rest,
  };
}

/** Creates evidence of a contended pool that was computed at time 0 and expires at 1,000 ms. */
export function createHeld(teams: readonly TeamWait[], epoch = 1): HeldEvidence {
  const largestTask = createResources(64, 131_072);
  const pools = [{ service: ROUTE.service, teams }];
  return { evidence: { epoch, largestTask, pools }, computedAt: 0, expiresAt: 1_000 };
}

export function createWait(waitMs: number, isBeyondShare = false, team = 'kurzeme'): TeamWait {
  return { team, isBeyondShare, waits: [{ priority: 0, waitMs, growth: 1 }] };
}
