/** Addresses of TCP services that need no name lookup. */

/** An IP address and a port; `parseIpEndpoint` creates it from text. */
export interface IpEndpoint {
  /** An IPv4 address, or an IPv6 address without brackets and zone. */
  readonly ip: string;
  /** From 1 to 65,535. */
  readonly port: number;
}

/** Formats an endpoint as `ip:port`, an IPv6 address in brackets. */
export function formatIpEndpoint({ ip, port }: IpEndpoint): string {
  return ip.includes(":") ? `[${ip}]:${port}` : `${ip}:${port}`;
}

/** Whether two endpoints have the same address and port. */
export function isSameEndpoint(a: IpEndpoint, b: IpEndpoint): boolean {
  return a.ip === b.ip && a.port === b.port;
}
