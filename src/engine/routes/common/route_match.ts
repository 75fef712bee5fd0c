/** Selects the route of a request, and the service that the request goes to. */
import type { Route, RouteTable } from "./route_table.ts";

/** Routes by host, in descending order of prefix length. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Builds the index of a table. */
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

/** Selects the route of `host` with the longest prefix of `path`. */
export function selectRoute(
  index: RouteIndex,
  host: string,
  path: string,
): Route | undefined {
  return index.get(readHostName(host))
    ?.find(({ prefix }) => path.startsWith(prefix));
}

/**
 * Selects the target of each request of a route by smooth weighted round robin,
 * so that even short sequences of requests keep the shares of the targets.
 */
export class TargetChooser {
  /** Current weights of the targets, by route name. */
  readonly #currentWeights = new Map<string, number[]>();

  /** Chooses the service of the next request, and updates the weights. */
  choose(route: Route): string {
    const { targets, name } = route;
    if (targets.length === 1) {
      return targets[0]!.service;
    }
    const weights = this.#currentWeights.get(name) ?? [];
    this.#currentWeights.set(name, weights);
    weights.length = targets.length;
    let best = 0;
    let total = 0;
    targets.forEach(({ weight }, index) => {
      total += weight;
      weights[index] = (weights[index] ?? 0) + weight;
      if (weights[index]! > weights[best]!) {
        best = index;
      }
    });
    weights[best] = weights[best]! - total;
    return targets[best]!.service;
  }

  /** Removes the state of routes that are not in the table. */
  prune(table: RouteTable): void {
    const names = new Set(table.routes.map(({ name }) => name));
    for (const name of this.#currentWeights.keys()) {
      if (!names.has(name)) {
        this.#currentWeights.delete(name);
      }
    }
  }
}

function readHostName(host: string): string {
  const colon = host.indexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
