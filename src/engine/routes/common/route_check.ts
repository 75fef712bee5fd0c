/** Validates a route table. */
import { checkWorkspaces } from "../../workspaces/common/workspace.ts";
import type { Route, RouteTable } from "./route_table.ts";

/** Maximum timeout of a route. */
export const MAX_TIMEOUT_MS = 600_000;

/**
 * Describes the first fault of a table; returns undefined if it is valid.
 * `services` are those that the document of the table defines.
 */
export function checkRoutes(
  table: RouteTable,
  services: ReadonlySet<string>,
): string | undefined {
  const hostsAndPrefixes = new Set<string>();
  for (const route of table.routes) {
    const fault = checkRoute(route, services);
    if (fault !== undefined) {
      return `Route ${route.name}: ${fault}`;
    }
    const hostAndPrefix = `${route.host} ${route.prefix}`;
    if (hostsAndPrefixes.has(hostAndPrefix)) {
      return `Route ${route.name}: another route has the same host and prefix`;
    }
    hostsAndPrefixes.add(hostAndPrefix);
  }
  return checkWorkspaces(table.workspaces ?? []);
}

function checkRoute(
  route: Route,
  services: ReadonlySet<string>,
): string | undefined {
  const { targets, timeoutMs, prefix } = route;
  if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
    return "the prefix must begin and end with a slash";
  }
  if (timeoutMs <= 0 || timeoutMs > MAX_TIMEOUT_MS) {
    return `the time limit must be above 0 and at most ${MAX_TIMEOUT_MS} ms`;
  }
  const unknown = targets.findIndex(({ service }) => !services.has(service));
  if (unknown >= 0) {
    // The name isn't quoted: it may be an API key in the wrong field.
    return `service ${unknown + 1} of ${targets.length} is not defined`;
  }
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  return targets.some(({ weight }) => weight < 0) || !(total > 0)
    ? "weights must not be negative, and one must be above 0"
    : undefined;
}
