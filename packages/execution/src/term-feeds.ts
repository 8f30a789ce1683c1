import {
  FeedConsumer,
  type FeedConsumerOptions,
  type PageSizer,
  type Store,
} from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import { INTAKE_PARTS, INTAKE_TABLE } from './intake-tables.ts';
import { readOwnerRows } from './owner-rows.ts';
import type { JoinedRow } from './row-parts.ts';

/** Milliseconds between a response of the intake's change feed and the next poll. */
const INTAKE_POLL_PAUSE_MS = 15;
/** Milliseconds between a response of the target registry's change feed and the next poll. */
const REGISTRY_POLL_PAUSE_MS = 150;

/** Options of the feeds of a term. */
export interface TermFeedsOptions {
  readonly context: OwnerContext;
  readonly store: Store;
  readonly pageSizer: PageSizer;
  /** Tables with the progress that earlier terms have stored. */
  readonly progressTables: readonly string[];
  readonly registryTable: string;
  /** Receives the rows of the progress tables, before any row of the intake is posted. */
  readonly onProgress: (getRows: (table: string) => readonly JoinedRow[]) => void;
}

/**
 * Reads what an owner must know from the store, all of it at the same time, and posts the rows of
 * the intake and then those of the target registry to the owner's task.
 */
export class TermFeeds {
  readonly #options: TermFeedsOptions;
  readonly #consumers: FeedConsumer[] = [];
  #isClosed = false;
  #resolveJobsLoaded: () => void = () => undefined;
  readonly #jobsLoaded = new Promise<void>((resolve) => {
    this.#resolveJobsLoaded = resolve;
  });

  constructor(options: TermFeedsOptions) {
    this.#options = options;
  }

  /** Starts reading. */
  open(): void {
    const progressLoaded = this.#loadProgress();
    this.#startConsumer('intake', INTAKE_TABLE, INTAKE_PARTS, INTAKE_POLL_PAUSE_MS, progressLoaded);
    const { registryTable } = this.#options;
    this.#startConsumer('registry', registryTable, [''], REGISTRY_POLL_PAUSE_MS, this.#jobsLoaded);
  }

  /** Records that the first snapshot of the intake was applied, which the registry waits for. */
  recordJobsLoaded(): void {
    this.#resolveJobsLoaded();
  }

  /** Stops reading; rows that arrive later are discarded. */
  close(): void {
    this.#isClosed = true;
    for (const consumer of this.#consumers) consumer.stop();
  }

  async #loadProgress(): Promise<void> {
    const { store, progressTables, pageSizer, onProgress } = this.#options;
    const isActive = (): boolean => !this.#isClosed;
    const getRows = await readOwnerRows(store, progressTables, pageSizer, isActive);
    if (!this.#isClosed) onProgress(getRows);
  }

  /** Consumes a feed; its rows are held back until what they refer to is loaded. */
  #startConsumer(
    kind: 'intake' | 'registry',
    table: string,
    parts: readonly string[],
    pauseMs: number,
    isReady: Promise<void>,
  ): void {
    const { context, store, pageSizer } = this.#options;
    const consumer = new FeedConsumer({
      store,
      pageSizer,
      table,
      parts,
      pauseMs,
      onRows: (rows, isSnapshot) => {
        void isReady.then(() => {
          context.post({ kind, rows, isSnapshot });
        });
      },
      ...(kind === 'intake' ? this.#buildIntakeOptions(isReady) : {}),
    });
    this.#consumers.push(consumer);
    void consumer.run();
  }

  /** Builds what keeps the knowledge of submissions current, and tells and logs how current it is. */
  #buildIntakeOptions(isReady: Promise<void>): Partial<FeedConsumerOptions> {
    const { post, logger, term } = this.#options.context;
    return {
      onCurrent: (currentAt) => {
        void isReady.then(() => {
          post({ kind: 'intake-current', currentAt });
        });
      },
      onLost: ({ message, kind }) => {
        logger.writeWarning('intake feed lost', { reason: message, kind, epoch: term.epoch });
      },
      onRegained: ({ lostMs, failedCalls, longestCallMs }) => {
        logger.writeInfo('intake feed regained', {
          epoch: term.epoch,
          lostMs: Math.round(lostMs),
          failedCalls,
          longestCallMs: Math.round(longestCallMs),
        });
      },
      onRecovered: ({ rows, tookMs, isComplete }) => {
        logger.writeInfo('intake read again', {
          epoch: term.epoch,
          rows,
          tookMs: Math.round(tookMs),
          isComplete,
        });
      },
    };
  }
}
