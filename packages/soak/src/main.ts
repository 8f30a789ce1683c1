import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { drawPlan } from './plan.ts';
import { Soak } from './soak.ts';

const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '10' },
    first: { type: 'string', default: '1' },
  },
});
const first = Number(values.first);
const last = first + Number(values.seeds) - 1;
const bundle = fileURLToPath(new URL('../../../dist/currantgap.cjs', import.meta.url));

let failures = 0;
for (let seed = first; seed <= last; seed += 1) {
  const plan = drawPlan(seed);
  const { broken, accepted } = await new Soak(plan, [process.execPath, bundle]).run();
  const troubles = plan.troubles.map(({ on, kind }) => `${on} ${kind}`).join(', ');
  const verdict = broken.length === 0 ? 'kept' : 'BROKEN';
  process.stdout.write(
    `seed ${seed}: ${verdict}, ${accepted} accepted, ${plan.nodes} nodes; ${troubles}\n`,
  );
  for (const line of broken) process.stdout.write(`  ${line}\n`);
  if (broken.length > 0) failures += 1;
}
process.stdout.write(
  `${last - first + 1 - failures} of ${last - first + 1} seeds kept all promises\n`,
);
process.exitCode = failures === 0 ? 0 : 1;
