import { Distribution } from './distribution.ts';
import { POINT_RATIOS } from './ratio-grid.ts';

/** Standard deviation of the natural logarithm of the ratio before any run was observed. */
const PRIOR_SPREAD = 0.35;
/** Probability that a task takes much longer than its client's estimate. */
const PRIOR_TAIL = 0.01;
/** Exponent with which the probability of the tail falls with the ratio. */
const PRIOR_TAIL_EXPONENT = 2;
const BISECTIONS = 60;

/** What is expected of a task before any run was observed: its mean is the client's estimate. */
export const PRIOR = buildPrior();

function buildPrior(): Distribution {
  let low = -1;
  let high = 1;
  for (let round = 0; round < BISECTIONS; round += 1) {
    const middle = (low + high) / 2;
    if (buildCentred(middle).mean < 1) low = middle;
    else high = middle;
  }
  return buildCentred(high);
}

/** Builds the prior whose body has its centre at the natural logarithm `centre` of the ratio. */
function buildCentred(centre: number): Distribution {
  const body = new Distribution(
    Float64Array.from(POINT_RATIOS, (ratio) =>
      Math.exp(-(((Math.log(ratio) - centre) / PRIOR_SPREAD) ** 2) / 2),
    ),
  );
  const tail = new Distribution(
    Float64Array.from(POINT_RATIOS, (ratio) => (ratio < 1 ? 0 : ratio ** -PRIOR_TAIL_EXPONENT)),
  );
  return new Distribution(
    body.masses.map(
      (mass, point) => (1 - PRIOR_TAIL) * mass + PRIOR_TAIL * (tail.masses[point] ?? 0),
    ),
  );
}
