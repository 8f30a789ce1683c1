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
  let isFinished = false;
  const finish = async (code, text) => {
    // What happens while everything is closed says nothing about the rule.
    if (isFinished) return;
    isFinished = true;
    clearTimeout(timer);
    record.write(text);
    process.stdout.write(`${text}\n`);
    await deployment.close().catch(() => undefined);
    process.exit(code);
  };
  const timer = setTimeout(() => {
    void finish(NOT_RUN, 'NOT RUN the case did not end in time');
  }, LIMIT_MS);
  for (const name of ['SIGINT', 'SIGTERM'])
    process.on(name, () => void finish(NOT_RUN, `NOT RUN ended by ${name}`));
  // An error of a stand-in must not look like a broken rule, which is exit code 1.
  for (const name of ['uncaughtException', 'unhandledRejection'])
    process.on(name, (error) => void finish(NOT_RUN, `NOT RUN ${describe(error)}`));
  try {
    const broken = await play(deployment, hasTrouble);
    if (broken === undefined) await finish(HELD, 'HELD');
    else await finish(BROKEN, `BROKEN ${broken}`);
  } catch (error) {
    await finish(NOT_RUN, `NOT RUN ${describe(error)}`);
  }
}

function describe(error) {
  return error instanceof Error ? error.message : String(error);
}
