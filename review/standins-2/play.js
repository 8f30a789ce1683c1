import { Deployment } from './deployment.js';
import { Record } from './record.js';

/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
/** Milliseconds after which a case that has not ended could not run. */
const LIMIT_MS = 115_000;

/**
 * Plays a case, writes its record beside it and exits with 1 if the rule was broken, 0 if it held and 2
 * if the case could not run.
 *
 * @param {string} caseUrl URL of the module of the case.
 * @param {(deployment: Deployment, hasTrouble: boolean) => Promise<string | undefined>} play Returns how
 *   the rule was broken; undefined if it held. Throws if the case could not run.
 */
export async function playCase(caseUrl, play) {
  const record = new Record(new URL('record.txt', caseUrl).pathname);
  const hasTrouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(record);
  let code = NOT_RUN;
  const timer = setTimeout(() => void finish('the case did not end in time'), LIMIT_MS);
  const finish = async (text) => {
    clearTimeout(timer);
    record.write(text);
    process.stdout.write(`${text}\n`);
    await deployment.close().catch(() => undefined);
    process.exit(code);
  };
  for (const name of ['SIGINT', 'SIGTERM']) process.on(name, () => void finish(`ended by ${name}`));
  try {
    const broken = await play(deployment, hasTrouble);
    code = broken === undefined ? HELD : BROKEN;
    await finish(broken === undefined ? 'HELD' : `BROKEN ${broken}`);
  } catch (error) {
    await finish(`NOT RUN ${error instanceof Error ? error.message : String(error)}`);
  }
}
