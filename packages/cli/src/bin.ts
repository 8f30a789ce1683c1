/** The node is loaded by itself, so that it starts without what the commands need. */
async function runWords(words: readonly string[]): Promise<number> {
  if (words[0] === 'node' && words.length === 1)
    return (await import('@currantgap/node')).runNode();
  return (await import('./main.ts')).run(words);
}

void runWords(process.argv.slice(2)).then((code) => {
  process.exit(code);
});
