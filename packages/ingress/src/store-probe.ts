import { INTAKE_TABLE } from '@currantgap/execution';
import { StoreFaultKind, type Store, type StoreFault } from '@currantgap/store';

/**
 * Parts that probes take in turn, as many as the intake has: the store may be unavailable for some
 * parts only.
 */
const PROBE_PARTS = 8;
/** Key of a row that is never written. */
const PROBE_KEY = 'probe';

/** What the response to a probe says about the writes of this node. */
export interface ProbeResult {
  /** Whether the store has looked at the transaction, as it would at one of a submission. */
  readonly isServed: boolean;
  /** The fault if the store found the probe malformed. */
  readonly invalid: StoreFault | undefined;
}

/**
 * Sends transactions that change nothing, whenever the store performs them: they require a version of
 * a row that does not exist. Their parts are this node's own, so that they queue behind no submission.
 */
export class StoreProbe {
  readonly #store: Store;
  readonly #node: string;
  #sent = 0;

  /** Creates a probe; `node` tells its parts from those of other nodes. */
  constructor(store: Store, node: string) {
    this.#store = store;
    this.#node = node;
  }

  /** Sends one transaction and judges the response. */
  async send(): Promise<ProbeResult> {
    const part = `probe/${this.#node}/${this.#sent % PROBE_PARTS}`;
    this.#sent += 1;
    const row = { table: INTAKE_TABLE, part, key: PROBE_KEY };
    const result = await this.#store.commit({
      conditions: [{ ...row, version: 1 }],
      puts: [],
      removals: [row],
    });
    if (result.isOk()) return { isServed: true, invalid: undefined };
    const { kind } = result.error;
    return {
      isServed: kind !== StoreFaultKind.Refused && kind !== StoreFaultKind.Unknown,
      invalid: kind === StoreFaultKind.Invalid ? result.error : undefined,
    };
  }
}
