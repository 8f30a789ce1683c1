import type { Incarnation } from '@currantgap/model';

const SEQUENCE_DIGITS = 10;

/** Keys of the rows of one environment in the table service. */
export class RowNames {
  readonly #environment: string;

  constructor(environment: string) {
    this.#environment = environment;
  }

  get view(): string {
    return `view/${this.#environment}`;
  }

  /** Key of the row that holds the last sequence and the hash of the document in force. */
  get head(): string {
    return `head/${this.#environment}`;
  }

  get logPrefix(): string {
    return `log/${this.#environment}/`;
  }

  formatLog(sequence: number): string {
    return this.logPrefix + String(sequence).padStart(SEQUENCE_DIGITS, '0');
  }

  formatLease(incarnation: Incarnation): string {
    return `lease/${this.#environment}/${incarnation}`;
  }

  formatClaim(service: string, team: string, key: string): string {
    return `claim/${this.#environment}/${service}/${team}/${key}`;
  }
}
