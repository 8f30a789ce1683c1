import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

const SECONDS_BUCKETS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
];

/** Prometheus metrics of one entry process. */
export class Metrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: 'currantgap_requests_total',
    help: 'Requests by team, service and outcome',
    labelNames: ['team', 'service', 'outcome', 'reason'],
    registers: [this.registry],
  });

  readonly queueSeconds = this.#createHistogram('queue_seconds', 'Time in the queue');
  readonly runSeconds = this.#createHistogram('run_seconds', 'Time at the target');
  readonly totalSeconds = this.#createHistogram('total_seconds', 'Time from arrival to answer');

  readonly retries = new Counter({
    name: 'currantgap_retries_total',
    help: 'Second and later sends of a request by service',
    labelNames: ['service'],
    registers: [this.registry],
  });

  readonly configurationSequence = new Gauge({
    name: 'currantgap_configuration_sequence',
    help: 'Sequence of the last configuration change in force here',
    registers: [this.registry],
  });

  readonly freshSeconds = new Gauge({
    name: 'currantgap_fresh_seconds',
    help: 'Seconds for which this entry may still start work; negative when it may not',
    registers: [this.registry],
  });

  readonly viewEpoch = new Gauge({
    name: 'currantgap_view_epoch',
    help: 'Epoch of the view in force here',
    registers: [this.registry],
  });

  readonly refusedReverts = new Counter({
    name: 'currantgap_refused_reverts_total',
    help: 'Older configuration that was offered and refused',
    registers: [this.registry],
  });

  /** Registers a gauge of the bytes exchanged with peers and the table, read from `countBytes`. */
  registerControlBytes(countBytes: () => number): void {
    const gauge = new Gauge({
      name: 'currantgap_control_bytes',
      help: 'Bytes read from and written to peers and the table since the start',
      registers: [this.registry],
      collect: () => {
        gauge.set(countBytes());
      },
    });
  }

  /** Registers the default metrics of the Node.js process. */
  registerProcessMetrics(): void {
    collectDefaultMetrics({ register: this.registry });
  }

  #createHistogram(name: string, help: string): Histogram<'team' | 'service'> {
    return new Histogram({
      name: `currantgap_${name}`,
      help,
      labelNames: ['team', 'service'],
      buckets: SECONDS_BUCKETS,
      registers: [this.registry],
    });
  }
}
