/** Addresses in `host:port` form, and listening on them. */
import type { AddressInfo, Server } from "node:net";

/** Where a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Reads `host:port`; undefined where it isn't one. */
export function parseAddress(text: string): ListenAddress | undefined {
  const match = /^(\[[0-9a-fA-F:]+\]|[0-9A-Za-z.-]+):(\d{1,5})$/.exec(text);
  if (match === null || Number(match[2]) > 65_535) {
    return undefined;
  }
  const host = match[1]!.replace(/^\[|\]$/g, "");
  return { host, port: Number(match[2]) };
}

/** Writes an address as `host:port`. */
export function formatAddress(address: ListenAddress): string {
  const host = address.host.includes(":") ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/** Opens a server; resolves with the address that it got. */
export function listen(
  server: Server,
  address: ListenAddress,
): Promise<ListenAddress> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, () => {
      server.off("error", reject);
      const { port } = server.address() as AddressInfo;
      resolve({ host: address.host, port });
    });
  });
}
