declare module 'js-csp' {
  export interface Channel<T> {
    close(): void;
    isClosed(): boolean;
    readonly brand?: T;
  }
  export interface Instruction {
    readonly instruction?: never;
  }
  export const CLOSED: null;
  export function chan<T>(buffer?: unknown): Channel<T>;
  export function take<T>(channel: Channel<T>): Instruction;
  export function offer<T>(channel: Channel<T>, value: T): boolean;
  export function go(body: () => Generator<Instruction, void, unknown>): unknown;
  export const buffers: { fixed(size: number): unknown };
}
