/** Packages from the lowest to the highest layer: a package may import only from lower layers. */
export const layers = [
  ['model'],
  ['tasks', 'settings'],
  ['telemetry', 'environment', 'sharing', 'routing'],
  ['allowance', 'platform', 'peer'],
  ['membership'],
  ['freshness'],
  ['gateway', 'operator'],
  ['entry'],
  ['cli'],
  ['standins', 'spec'],
  ['bench', 'features'],
];

/** Lists the packages that a package must not import. */
export function listForbidden(name) {
  const level = layers.findIndex((layer) => layer.includes(name));
  return layers
    .slice(level)
    .flat()
    .filter((other) => other !== name);
}
