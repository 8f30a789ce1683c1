import { fileURLToPath } from 'node:url';

/** Command that runs the product from its bundle. */
export const PRODUCT_COMMAND: readonly string[] = [
  process.execPath,
  fileURLToPath(new URL('../../../dist/currantgap.cjs', import.meta.url)),
];
