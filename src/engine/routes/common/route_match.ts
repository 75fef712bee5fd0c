/** Finds the route of a request, and the service that a request goes to. */
import type { Route, RouteTable } from "./route_table.ts";

/** Routes by host, those with the longest prefixes first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Builds the index of a table; once for each table. */
export function buildRouteIndex(table: RouteTable): RouteIndex {
  const byHost = new Map<string, Route[]>();
  for (const route of table.routes) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return byHost;
}

/** Selects the route with the longest prefix of `path` on `host`. */
export function selectRoute(
  index: RouteIndex,
  host: string,
  path: string,
): Route | undefined {
  return index.get(readHostName(host))
    ?.find(({ prefix }) => path.startsWith(prefix));
}

/**
 * Selects the target of a route's next request: smooth weighted round robin,
 * so that each target's share is kept over any short run of requests.
 */
export class TargetChooser {
  readonly #credits = new Map<string, number[]>();

  /** Chooses a service; the route's share of it moves on. */
  choose(route: Route): string {
    const { targets, name } = route;
    if (targets.length === 1) {
      return targets[0]!.service;
    }
    const credits = this.#credits.get(name) ?? [];
    this.#credits.set(name, credits);
    credits.length = targets.length;
    let best = 0;
    let total = 0;
    targets.forEach(({ weight }, at) => {
      total += weight;
      credits[at] = (credits[at] ?? 0) + weight;
      if (credits[at]! > credits[best]!) {
        best = at;
      }
    });
    credits[best] = credits[best]! - total;
    return targets[best]!.service;
  }

  /** Forgets the routes that are no longer in force. */
  prune(table: RouteTable): void {
    const names = new Set(table.routes.map(({ name }) => name));
    for (const name of this.#credits.keys()) {
      if (!names.has(name)) {
        this.#credits.delete(name);
      }
    }
  }
}

function readHostName(host: string): string {
  const colon = host.indexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
