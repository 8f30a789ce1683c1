import { explore } from './explore.ts';
import { listChecks } from './plan.ts';

let failures = 0;
for (const { specification, bounds, isSeeded } of listChecks(process.argv.includes('--deep'))) {
  const found = explore(specification);
  const isExpected = isSeeded === (found.violation !== undefined);
  if (!isExpected) failures += 1;
  const verdict = isExpected ? 'ok' : 'FAILED';
  process.stdout.write(
    `${verdict} ${specification.name} ${bounds}: ${found.states} states, ${found.transitions} transitions\n`,
  );
  if (found.violation === undefined) continue;
  process.stdout.write(`   ${found.violation}\n   by: ${found.trace.join(', ')}\n`);
}
process.exitCode = failures === 0 ? 0 : 1;
