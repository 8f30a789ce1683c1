declare module 'js-csp' {
  export interface Channel<T> {
    close(): void;
    isClosed(): boolean;
    readonly brand?: T;
  }
  export interface Instruction {
    readonly instruction?: never;
  }
  interface Csp {
    readonly CLOSED: null;
    readonly NO_VALUE: object;
    chan<T>(buffer?: unknown): Channel<T>;
    take<T>(channel: Channel<T>): Instruction;
    poll<T>(channel: Channel<T>): unknown;
    offer<T>(channel: Channel<T>, value: T): boolean;
    go(body: () => Generator<Instruction, void, unknown>): unknown;
    readonly buffers: { fixed(size: number): unknown };
  }
  const csp: Csp;
  export default csp;
}
