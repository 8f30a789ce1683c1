import { run } from './main.ts';

void run(process.argv.slice(2)).then((code) => {
  process.exit(code);
});
