/** Reads the hosts of routes and of requests, so that they can be compared. */

/** A host, and the port where it is not the default one. */
export interface RouteHost {
  /** In lower case, without a trailing dot; an IPv6 address in brackets. */
  readonly name: string;
  /** Undefined for the default port of HTTP. */
  readonly port: string | undefined;
}

const DEFAULT_PORT = "80";
/** A name or an IPv6 literal, and optionally a port, which may be empty. */
const HOST_AND_PORT = /^(\[[^\]]*\]|[^:]*)(?::0*(\d*))?$/;
const BARE_IPV6 = /^[0-9a-f:.]+$/;

/** Parses `host` or `host:port`; text of another form is taken as a name. */
export function parseHost(text: string): RouteHost {
  const lowerCase = text.toLowerCase();
  const match = HOST_AND_PORT.exec(lowerCase);
  if (match === null) {
    const isAddress = BARE_IPV6.test(lowerCase);
    return { name: isAddress ? `[${lowerCase}]` : lowerCase, port: undefined };
  }
  const [, name = "", port] = match;
  return {
    name: name.length > 1 && name.endsWith(".") ? name.slice(0, -1) : name,
    port: port === "" || port === DEFAULT_PORT ? undefined : port,
  };
}

/** Formats a host as `host` or `host:port`. */
export function formatHost({ name, port }: RouteHost): string {
  return port === undefined ? name : `${name}:${port}`;
}
