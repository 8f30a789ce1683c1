/** Request header with the key that authenticates a peer. */
export const PEER_KEY_HEADER = 'peer-key';
