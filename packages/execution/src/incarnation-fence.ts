/** Whether calls of the past can take effect on a target. */
enum FenceState {
  /** The target has answered the token, so no call with a lower one can. */
  Closed,
  /** Another incarnation may answer, which has seen no token yet. */
  Open,
  /** The token was raised and has not been answered yet. */
  Raised,
}

/**
 * Keeps calls of the past from taking effect on a target. A target does nothing for a call whose fencing
 * token is lower than the highest one that it has seen, but a new incarnation has seen none. Whenever
 * another incarnation may answer, the token is raised: once the target has answered it, no call that was
 * sent before can take effect on that incarnation, however late it arrives. Until then the target is
 * sent nothing that means something else on another incarnation.
 */
export class IncarnationFence {
  #state = FenceState.Closed;
  #token: number;

  /** `token` is the fencing token of the owner's term. */
  constructor(token: number) {
    this.#token = token;
  }

  /** Fencing token of the calls to the target. */
  get token(): number {
    return this.#token;
  }

  /** Whether the incarnation that answered last takes no call of the past. */
  get isClosed(): boolean {
    return this.#state === FenceState.Closed;
  }

  /** Records that another incarnation than the one that answered last may answer. */
  open(): void {
    if (this.#state === FenceState.Closed) this.#state = FenceState.Open;
  }

  /**
   * Raises the token of an open fence. `limit` is a store version at which this owner was not deposed, so
   * that the token of any successor is higher; while all tokens up to it are used, the fence stays open.
   * Returns whether the token was raised.
   */
  raise(limit: number): boolean {
    if (this.#state !== FenceState.Open || this.#token >= limit) return false;
    this.#token += 1;
    this.#state = FenceState.Raised;
    return true;
  }

  /** Records that a call with this token was answered; returns whether that has closed the fence. */
  close(token: number): boolean {
    if (this.#state !== FenceState.Raised || token !== this.#token) return false;
    this.#state = FenceState.Closed;
    return true;
  }
}
