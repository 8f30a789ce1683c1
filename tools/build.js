import { build } from 'esbuild';
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, writeFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));
const dist = `${root}dist`;
const target = process.argv.find((word) => word.startsWith('--bundle='))?.slice('--bundle='.length);
const bundle = target ?? `${dist}/currantgap.cjs`;
const binary = `${dist}/currantgap`;
const isBundleOnly = target !== undefined || process.argv.includes('--bundle-only');

mkdirSync(dist, { recursive: true });
await build({
  entryPoints: [`${root}packages/cli/src/bin.ts`],
  outfile: bundle,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
if (!isBundleOnly) {
  const settings = `${dist}/sea.json`;
  const blob = `${dist}/currantgap.blob`;
  writeFileSync(
    settings,
    JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true }),
  );
  execFileSync(process.execPath, ['--experimental-sea-config', settings], { stdio: 'ignore' });
  copyFileSync(process.execPath, binary);
  chmodSync(binary, 0o755);
  execFileSync(
    process.execPath,
    [
      `${root}node_modules/postject/dist/cli.js`,
      binary,
      'NODE_SEA_BLOB',
      blob,
      '--sentinel-fuse',
      'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
    ],
    { stdio: 'ignore' },
  );
}
