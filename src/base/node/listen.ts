/** Addresses in the form `host:port`, and servers that listen on them. */
import { isIP } from "node:net";
import type { AddressInfo, Server } from "node:net";
import type { IpEndpoint } from "../common/ip_endpoint.ts";

/** Address on which a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Parses `host:port`; returns undefined if `text` has another form. */
export function parseAddress(text: string): ListenAddress | undefined {
  const match = /^(\[[0-9a-fA-F:]+\]|[0-9A-Za-z.-]+):(\d{1,5})$/.exec(text);
  if (match === null || Number(match[2]) > 65_535) {
    return undefined;
  }
  const host = match[1]!.replace(/^\[|\]$/g, "");
  return { host, port: Number(match[2]) };
}

/**
 * Parses `ip:port` of a service to connect to. Returns undefined for host names,
 * for IPv6 zones and for port 0, which no client can use.
 */
export function parseIpEndpoint(text: string): IpEndpoint | undefined {
  const address = parseAddress(text);
  return address !== undefined && address.port > 0 && isIP(address.host) !== 0
    ? { ip: address.host, port: address.port }
    : undefined;
}

/** Formats an address as `host:port`, an IPv6 address in brackets. */
export function formatAddress(address: ListenAddress): string {
  const host = address.host.includes(":") ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/** Starts listening; resolves with the address, whose port is the bound one. */
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
