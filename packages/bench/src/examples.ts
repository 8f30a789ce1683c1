/** Writes the example documents, with a made-up address for each VM. */
import { createDocument, FAROLITO, MANTOJUMA } from '@currantgap/standins';
import { writeFileSync } from 'node:fs';
import { stringify } from 'smol-toml';

const TARGET_PORT = 8_000;

for (const [name, shape] of [
  ['mantojuma', MANTOJUMA],
  ['farolito', FAROLITO],
] as const) {
  let host = 0;
  const document = createDocument(shape, () => {
    host += 1;
    return `10.0.0.${host}:${TARGET_PORT}`;
  });
  writeFileSync(new URL(`../../../examples/${name}.toml`, import.meta.url), stringify(document));
}
