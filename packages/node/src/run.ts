import { describeError, formatFault } from '@currantgap/model';
import { LineBuffer, Logger, setLogSink } from '@currantgap/telemetry';
import { Node } from './node.ts';
import { readSettingsFile, SettingsFile } from './settings-file.ts';

const SETTINGS_VARIABLE = 'CURRANTGAP_SETTINGS';
const DEFAULT_SETTINGS_PATH = '/etc/currantgap/local.conf';

/** Runs a node until SIGTERM or SIGINT. Returns the exit code: 0, or 2 if the node cannot start. */
export async function runNode(): Promise<number> {
  const lines = new LineBuffer(process.stdout);
  setLogSink((line) => {
    lines.write(line);
  });
  const path = process.env[SETTINGS_VARIABLE] ?? DEFAULT_SETTINGS_PATH;
  const settings = readSettingsFile(path);
  if (settings.isErr()) {
    for (const fault of settings.error) process.stderr.write(`${formatFault(fault)}\n`);
    return 2;
  }
  const logger = new Logger({ node: settings.value.node });
  const file = new SettingsFile(path, settings.value, logger);
  file.watch();
  const node = new Node(file, logger);
  try {
    await node.start();
  } catch (error) {
    process.stderr.write(
      `The node cannot start: ${describeError(error)}. Correct the addresses in its settings.\n`,
    );
    return 2;
  }
  await new Promise<void>((resolve) => {
    // The listeners stay: without one, a second signal would end the process and cut its requests.
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
  });
  await node.stop();
  lines.flush();
  return 0;
}
