/** Packages from the lowest to the highest layer: a package may import only from lower layers. */
export const layers = [
  ['model'],
  ['tasks', 'settings', 'store', 'scheduling', 'configuration-check', 'estimation'],
  ['telemetry', 'environment', 'sharing', 'routing', 'jobs'],
  ['admission', 'allowance', 'platform', 'peer', 'ownership', 'fleet'],
  ['membership', 'execution'],
  ['freshness', 'ingress', 'forwarding'],
  ['gateway', 'operator', 'platform-adapter'],
  ['entry', 'node'],
  ['cli'],
  ['standins', 'spec'],
  ['bench', 'features', 'soak'],
];

/** Lists the packages that a package must not import. */
export function listForbidden(name) {
  const level = layers.findIndex((layer) => layer.includes(name));
  return layers
    .slice(level)
    .flat()
    .filter((other) => other !== name);
}
