import type { AddressInfo, Server } from 'node:net';

/** Makes a server listen on an address and returns the port taken. Rejects when it is in use. */
export async function listenOn(server: Server, host: string, port: number): Promise<number> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return (server.address() as AddressInfo).port;
}
