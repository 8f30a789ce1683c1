import { EMPTY_VIEW, isMember, isNewer, PromisedEpoch, type View } from '@currantgap/membership';
import type { Incarnation } from '@currantgap/model';

/** Called with each view when it takes effect. */
export type ViewObserver = (view: View) => void;

/** The current view of this entry and the epoch promised to peers. The epoch never decreases. */
export class CurrentView {
  readonly incarnation: Incarnation;
  readonly #promisedEpoch = new PromisedEpoch();
  readonly #observers: ViewObserver[] = [];
  #view: View = EMPTY_VIEW;

  constructor(incarnation: Incarnation) {
    this.incarnation = incarnation;
  }

  /** The current view; empty before the first one is known. */
  get view(): View {
    return this.#view;
  }

  /** Whether this process is a member of the current view. */
  get isMember(): boolean {
    return isMember(this.#view, this.incarnation);
  }

  /** Adds an observer that is called for each later view. */
  observe(observer: ViewObserver): void {
    this.#observers.push(observer);
  }

  /** Replaces the current view and notifies the observers, if the given view is newer. */
  applyIfNewer(view: View): void {
    if (!isNewer(view, this.#view)) return;
    this.#view = view;
    for (const observer of this.#observers) observer(view);
  }

  /** Promises to stop confirming freshness under `epoch`; false if a later epoch is known. */
  promise(epoch: number): boolean {
    return this.#promisedEpoch.promise(epoch, this.#view.epoch);
  }

  /**
   * Whether this entry, having applied all changes up to `sequence`, may confirm the freshness of
   * members in the current epoch.
   */
  canConfirm(sequence: number): boolean {
    if (!this.isMember || !this.#promisedEpoch.canConfirm(this.#view.epoch)) return false;
    return sequence >= this.#view.sequence;
  }
}
