import { runControlBench } from './control-bench.ts';
import { runDecisionBench } from './decision-bench.ts';
import { runRelayBench } from './relay-bench.ts';

const benches = new Map<string, () => Promise<void>>([
  ['relay', runRelayBench],
  ['control', runControlBench],
  ['decisions', runDecisionBench],
]);

const [name = ''] = process.argv.slice(2);
const runBench = benches.get(name);
if (runBench === undefined) {
  process.stderr.write(`Name one of the benchmarks: ${[...benches.keys()].join(', ')}.\n`);
  process.exitCode = 1;
} else {
  await runBench();
}
