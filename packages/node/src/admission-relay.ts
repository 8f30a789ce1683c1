import type { AdmissionEvidence, EvidenceHolder } from '@currantgap/admission';
import { AdmissionPort, type PoolGauges } from '@currantgap/execution';
import type { ForwarderPool } from '@currantgap/forwarding';
import type { NodeMetrics } from './node-metrics.ts';

const MILLISECONDS_PER_SECOND = 1_000;

/** Takes the evidence of the owner in this process to this node and to all others. */
export class AdmissionRelay extends AdmissionPort {
  readonly #pool: ForwarderPool;
  readonly #holder: EvidenceHolder;
  readonly #metrics: NodeMetrics;

  constructor(pool: ForwarderPool, holder: EvidenceHolder, metrics: NodeMetrics) {
    super();
    this.#pool = pool;
    this.#holder = holder;
    this.#metrics = metrics;
  }

  publish(evidence: AdmissionEvidence): void {
    this.#holder.accept(evidence, performance.now());
    this.#pool.announce(evidence);
  }

  observe(pools: readonly PoolGauges[]): void {
    const { backlogCores, startSeconds } = this.#metrics;
    backlogCores.reset();
    startSeconds.reset();
    for (const { service, waitingCores, waitMs } of pools) {
      backlogCores.set({ service }, waitingCores);
      startSeconds.set({ service }, waitMs / MILLISECONDS_PER_SECOND);
    }
  }
}
