import { join } from 'node:path';
import { Deployment } from './deployment.js';

/** Whether the case is played with its disruption. */
export const isDisrupted = process.env.TROUBLE !== '0';

/**
 * Plays a case. `play` returns lines that describe how the rule was broken, none if it held, and throws if the
 * case could not run. Exits with 1, 0 or 2.
 */
export async function runCase(directory, play) {
  const deployment = new Deployment(join(directory, 'record.txt'));
  let code = 2;
  let isAbandoned = false;
  const abandon = (reason) => {
    if (isAbandoned) return;
    isAbandoned = true;
    console.log(`the case could not run: ${reason}`);
    void deployment.close().then(() => process.exit(2));
  };
  // An error in a stand-in says nothing about the rule.
  process.on('uncaughtException', (error) => abandon(error.stack));
  // Without these, the processes of the nodes would outlive the case.
  for (const signal of ['SIGTERM', 'SIGINT']) process.on(signal, () => abandon(signal));
  try {
    const findings = await play(deployment);
    for (const line of findings) deployment.history.write(`BROKEN ${line}`);
    console.log(findings.length === 0 ? 'the rule held' : findings.slice(0, 20).join('\n'));
    code = findings.length === 0 ? 0 : 1;
  } catch (error) {
    console.log(`the case could not run: ${error.stack}`);
    deployment.history.write(`could not run: ${error.message}`);
  }
  await deployment.close();
  process.exit(code);
}
