/** Points of the grid in each doubling of the ratio. */
const POINTS_PER_OCTAVE = 4;
/** Octaves that the grid covers below the ratio 1. */
const OCTAVES_BELOW = 6;
/** Octaves that the grid covers above the ratio 1. */
const OCTAVES_ABOVE = 7;

/** Number of points of the grid of ratios, which are spaced evenly on a logarithmic scale. */
export const POINT_COUNT = (OCTAVES_BELOW + OCTAVES_ABOVE) * POINTS_PER_OCTAVE + 1;

/** Computes the position of a ratio on the grid; whole numbers are points. */
export function computePosition(ratio: number): number {
  if (!(ratio > 0)) return 0;
  const position = (Math.log2(ratio) + OCTAVES_BELOW) * POINTS_PER_OCTAVE;
  return Math.min(POINT_COUNT - 1, Math.max(0, position));
}

/** Computes the ratio at a position of the grid. */
export function computeRatio(position: number): number {
  return 2 ** (position / POINTS_PER_OCTAVE - OCTAVES_BELOW);
}

/** Ratio at each point of the grid. */
export const POINT_RATIOS: readonly number[] = Array.from({ length: POINT_COUNT }, (_, point) =>
  computeRatio(point),
);
