/** Validates a route table. */
import { checkWorkspaces } from "../../workspaces/common/workspace.ts";
import { formatHost, parseHost } from "./route_host.ts";
import type { Route, RouteTable } from "./route_table.ts";

/** Maximum timeout of a route. */
export const MAX_TIMEOUT_MS = 600_000;

/** A service that a route names in its document. */
export interface ServiceReference {
  readonly route: string;
  readonly service: string;
}

/** Services in the document of a table. */
export interface DocumentServices {
  /** Those that the document defines. */
  readonly defined: ReadonlySet<string>;
  /**
   * Those that routes name: all targets of the table, and also services that
   * the table has no use for.
   */
  readonly references: readonly ServiceReference[];
}

/** Describes the first fault of a table; returns undefined if it is valid. */
export function checkRoutes(
  table: RouteTable,
  services: DocumentServices,
): string | undefined {
  return checkReferences(services) ?? checkEachRoute(table.routes) ??
    checkWorkspaces(table.workspaces ?? []);
}

function checkReferences(
  { defined, references }: DocumentServices,
): string | undefined {
  const unknown = references.find(({ service }) => !defined.has(service));
  // The name isn't quoted: it may be an API key in the wrong field.
  return unknown === undefined
    ? undefined
    : `Route ${unknown.route}: it names a service that is not defined`;
}

function checkEachRoute(routes: readonly Route[]): string | undefined {
  const hostsAndPrefixes = new Set<string>();
  for (const route of routes) {
    const fault = checkRoute(route);
    if (fault !== undefined) {
      return `Route ${route.name}: ${fault}`;
    }
    const host = formatHost(parseHost(route.host));
    const hostAndPrefix = `${host} ${route.prefix}`;
    if (hostsAndPrefixes.has(hostAndPrefix)) {
      return `Route ${route.name}: another route has the same host and prefix`;
    }
    hostsAndPrefixes.add(hostAndPrefix);
  }
  return undefined;
}

function checkRoute(
  { targets, timeoutMs, prefix }: Route,
): string | undefined {
  if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
    return "the prefix must begin and end with a slash";
  }
  if (timeoutMs <= 0 || timeoutMs > MAX_TIMEOUT_MS) {
    return `the time limit must be above 0 and at most ${MAX_TIMEOUT_MS} ms`;
  }
  if (targets.length === 0) {
    return "it names no service";
  }
  return targets.some(({ weight }) => weight < 0) ||
      targets.every(({ weight }) => weight === 0)
    ? "weights must not be negative, and one must be above 0"
    : undefined;
}
