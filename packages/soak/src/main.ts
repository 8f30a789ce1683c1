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
const firstSeed = Number(values.first);
const lastSeed = firstSeed + Number(values.seeds) - 1;
const bundle = fileURLToPath(new URL('../../../dist/currantgap.cjs', import.meta.url));

let failedSeeds = 0;
for (let seed = firstSeed; seed <= lastSeed; seed += 1) {
  const plan = drawPlan(seed);
  const soak = new Soak(plan, [process.execPath, bundle]);
  const { violations, acceptedCount, logDirectory } = await soak.run();
  const failures = plan.failures.map(
    ({ component, kind, repeats }) => `${component} ${kind} x${repeats}`,
  );
  if (plan.bytesPerSecond !== Infinity) failures.unshift('narrow links');
  if (plan.targetsOpenAtMs > 0) failures.unshift('late targets');
  if (plan.targetAgeMs > 0) failures.unshift('old targets');
  if (plan.persistentOffsetsMs.length > 0) failures.unshift('persistent tasks');
  const verdict = violations.length === 0 ? 'passed' : 'FAILED';
  process.stdout.write(
    `seed ${seed}: ${verdict}, ${acceptedCount} accepted, ${plan.nodes} nodes; ${failures.join(', ')}\n`,
  );
  for (const violation of violations) process.stdout.write(`  ${violation}\n`);
  if (violations.length > 0) process.stdout.write(`  logs: ${logDirectory}\n`);
  if (violations.length > 0) failedSeeds += 1;
}
process.stdout.write(
  `${lastSeed - firstSeed + 1 - failedSeeds} of ${lastSeed - firstSeed + 1} seeds passed\n`,
);
process.exitCode = failedSeeds === 0 ? 0 : 1;
