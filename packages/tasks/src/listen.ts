import type { AddressInfo, Server } from 'node:net';

/** Starts a server and returns its actual port. Rejects on failure, such as an address in use. */
export async function listenOn(server: Server, host: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return (server.address() as AddressInfo).port;
}
