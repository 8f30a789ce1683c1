/** Runs the command line. The command `node` does not load the modules of the other commands. */
async function runCommandLine(args: readonly string[]): Promise<number> {
  if (args[0] === 'node' && args.length === 1) return (await import('@currantgap/node')).runNode();
  return (await import('./main.ts')).run(args);
}

void runCommandLine(process.argv.slice(2)).then((code) => {
  process.exit(code);
});
