/** Whether a bit set has an index. */
export function hasBit(set: number, index: number): boolean {
  return ((set >> index) & 1) === 1;
}
