import { explore } from './explore.ts';
import { listChecks } from './plan.ts';

let failures = 0;
for (const { specification, bounds, hasSeededFault } of listChecks(
  process.argv.includes('--deep'),
)) {
  const result = explore(specification);
  const isExpected = hasSeededFault === (result.violation !== undefined);
  if (!isExpected) failures += 1;
  const verdict = isExpected ? 'ok' : 'FAILED';
  process.stdout.write(
    `${verdict} ${specification.name} ${bounds}: ${result.states} states, ${result.transitions} transitions\n`,
  );
  if (result.violation === undefined) continue;
  process.stdout.write(`   ${result.violation}\n   by: ${result.trace.join(', ')}\n`);
}
process.exitCode = failures === 0 ? 0 : 1;
