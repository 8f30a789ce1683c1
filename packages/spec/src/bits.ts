/** Whether a bit set contains an index. */
export function hasBit(set: number, index: number): boolean {
  return ((set >> index) & 1) === 1;
}
