import { JobState } from '@currantgap/model';
import type { JobIndex } from './job-index.ts';

/**
 * Finds the state of a job that callers may see; undefined if the job is not known. A job that has
 * completed or failed is reported as running until that state is in the store.
 */
export function findJobState(jobs: JobIndex, id: string): JobState | undefined {
  const job = jobs.find(id);
  if (job === undefined) return jobs.findArchived(id)?.state;
  if (!job.isEnded) return job.hasStarted ? JobState.Running : JobState.Pending;
  const isStored = job.storedState === job.state;
  return isStored || job.state === JobState.Cancelled ? job.state : JobState.Running;
}
