import type { TargetAddress } from '@currantgap/execution';
import type { ForwarderInfo } from './handshake.ts';

const HASH_RANGE = 2 ** 32;
/** Parameters of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Chooses the forwarder of a target by weighted rendezvous hashing, so that few targets change their
 * forwarder when one comes or goes, and those with more cores get more targets. Prefers the target's
 * data centre; undefined means that the owner makes the calls itself.
 */
export function chooseForwarder<T extends { readonly info: ForwarderInfo }>(
  forwarders: readonly T[],
  target: TargetAddress,
  ownDataCentre: string,
): T | undefined {
  const near = forwarders.filter(({ info }) => info.dataCentre === target.dataCentre);
  if (near.length === 0 && target.dataCentre === ownDataCentre) return undefined;
  let best: T | undefined;
  let bestScore = -Infinity;
  for (const forwarder of near.length > 0 ? near : forwarders) {
    const score = computeScore(forwarder.info, target.id);
    if (score <= bestScore) continue;
    best = forwarder;
    bestScore = score;
  }
  return best;
}

/**
 * Ranks nodes by their suitability as the next owner: strong ones first, and one of another data
 * centre before any of the owner's own, since data centres fail as a whole.
 */
export function sortSuccessors(
  infos: readonly ForwarderInfo[],
  ownDataCentre: string,
): readonly string[] {
  const ranked = [...infos].sort(
    (left, right) =>
      right.cores - left.cores ||
      right.linkMbps - left.linkMbps ||
      Number(left.dataCentre === ownDataCentre) - Number(right.dataCentre === ownDataCentre),
  );
  return ranked.map(({ node }) => node);
}

function computeScore({ node, cores }: ForwarderInfo, targetId: string): number {
  const share = (computeHash(`${node}/${targetId}`) + 1) / (HASH_RANGE + 1);
  return -cores / Math.log(share);
}

/** Computes the FNV-1a hash of a text, finally mixed so that similar texts differ in all bits. */
function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
