import type { Store } from '@currantgap/store';
import { getWallNow, type OwnerContext } from './context.ts';
import { decodeEndedJob, ENDED_TABLE, getIntakePart, INTAKE_TABLE } from './intake-tables.ts';

/** Milliseconds before a lookup that failed, or that found an open job, is repeated. */
const RETRY_MS = 250;

/**
 * Looks up jobs that targets report and this owner does not know: they ended in an earlier term, or
 * their submissions have not arrived by the change feed yet. Makes one lookup at a time.
 */
export class JobLookup {
  readonly #context: OwnerContext;
  readonly #store: Store;
  readonly #requested = new Set<string>();
  #isReading = false;
  #readNotBefore = 0;

  constructor(context: OwnerContext, store: Store) {
    this.#context = context;
    this.#store = store;
  }

  /** Requests a lookup; the result is recorded in the job index. */
  request(id: string): void {
    this.#requested.add(id);
  }

  /** Starts the next lookup if it is due. */
  sweep(): void {
    const [id] = this.#requested;
    if (id === undefined || this.#isReading || this.#context.clock.now < this.#readNotBefore)
      return;
    this.#isReading = true;
    void this.#readJob(id).then((isResolved) => {
      this.#isReading = false;
      // An unresolved job is reported, and so requested, again.
      this.#requested.delete(id);
      if (!isResolved) this.#readNotBefore = this.#context.clock.now + RETRY_MS;
      this.sweep();
    });
  }

  /** Looks a job up; returns whether it is known to have ended. */
  async #readJob(id: string): Promise<boolean> {
    const { jobs, logger } = this.#context;
    const range = { part: getIntakePart(id), from: id, limit: 1 };
    const endedPage = await this.#store.read({ ...range, table: ENDED_TABLE });
    if (endedPage.isErr()) return false;
    const endedRow = endedPage.value.rows.find(({ key }) => key === id);
    const ended = endedRow === undefined ? undefined : decodeEndedJob(endedRow.value);
    if (ended !== undefined) {
      jobs.archive(id, ended);
      logger.writeInfo('ended job looked up', { request: id, state: ended.state });
      return true;
    }
    const intakePage = await this.#store.read({ ...range, table: INTAKE_TABLE });
    if (intakePage.isErr() || intakePage.value.rows.some(({ key }) => key === id)) return false;
    jobs.recordPurged(id, getWallNow());
    logger.writeInfo('purged job looked up', { request: id });
    return true;
  }
}
