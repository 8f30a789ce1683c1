/** Header by which a peer shows its key. */
export const PEER_KEY_HEADER = 'peer-key';
