/** An IP address and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses `host:port`. The text must already be validated by the settings schema. */
export function parseAddress(text: string): Address {
  const colon = text.lastIndexOf(':');
  return { host: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}

/** Formats an address as `host:port`. */
export function formatAddress(address: Address): string {
  return `${address.host}:${address.port}`;
}
