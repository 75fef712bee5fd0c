/** Selects the route of a request, and the service that the request goes to. */
import { formatHost, parseHost } from "./route_host.ts";
import type { Route, RouteTable } from "./route_table.ts";

/** Routes by formatted host, in descending order of prefix length. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Builds the index of a table. */
export function buildRouteIndex(table: RouteTable): RouteIndex {
  const byHost = new Map<string, Route[]>();
  for (const route of table.routes) {
    // A table that an earlier build has stored holds hosts as they were sent.
    const host = formatHost(parseHost(route.host));
    const routes = byHost.get(host) ?? [];
    routes.push(route);
    byHost.set(host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort((a, b) => b.prefix.length - a.prefix.length);
  }
  return byHost;
}

/**
 * Selects the route of `host` with the longest prefix of `path`. The routes of
 * that very host and port come first, then those of the host on any port.
 */
export function selectRoute(
  index: RouteIndex,
  host: string,
  path: string,
): Route | undefined {
  const { name, port } = parseHost(host);
  const anyPort = findByPrefix(index.get(name), path);
  return port === undefined
    ? anyPort
    : findByPrefix(index.get(formatHost({ name, port })), path) ?? anyPort;
}

function findByPrefix(
  routes: readonly Route[] | undefined,
  path: string,
): Route | undefined {
  return routes?.find(({ prefix }) => path.startsWith(prefix));
}

/**
 * Selects the target of each request of a route, so that even short sequences
 * of requests keep the shares of the targets.
 *
 * The targets are decided on in turn: each takes its weight's share of the
 * requests that those before it have left. Whether it takes the next one
 * depends on a phase from 0 to 1, which advances by this share and wraps around
 * when the target takes a request. A phase is evenly distributed whatever the
 * shares were, so it says nothing of earlier weights, and stays valid when
 * weights change or targets are added, removed or moved.
 */
export class TargetChooser {
  readonly #draw: () => number;
  /** Phases of the decisions, by `createRouteKey`. */
  readonly #phases = new Map<string, number[]>();

  /**
   * `draw` returns a random number from 0 to 1. Phases begin at random, because
   * otherwise the first requests of all routes and nodes would have the same
   * target.
   */
  constructor(draw: () => number) {
    this.#draw = draw;
  }

  /** Chooses the service of the next request, and advances the phases. */
  choose(route: Route): string {
    const { targets } = route;
    if (targets.length === 1) {
      return targets[0]!.service;
    }
    const key = createRouteKey(route);
    const phases = this.#phases.get(key) ?? [];
    this.#phases.set(key, phases);
    const weighted = targets.filter(({ weight }) => weight > 0);
    const shares = computeSharesOfRest(weighted.map(({ weight }) => weight));
    const index = shares.findIndex((share, at) => {
      const phase = (phases[at] ?? this.#draw()) + share;
      const isTaken = phase >= 1;
      phases[at] = isTaken ? phase - 1 : phase;
      return isTaken;
    });
    // The last target takes what the others leave.
    return weighted.at(index)!.service;
  }

  /** Removes the state of routes that are not in the table. */
  prune(table: RouteTable): void {
    const keys = new Set(table.routes.map(createRouteKey));
    for (const key of this.#phases.keys()) {
      if (!keys.has(key)) {
        this.#phases.delete(key);
      }
    }
  }
}

/** Tells routes apart; several may have the same name. */
function createRouteKey({ name, host, prefix }: Route): string {
  return `${host} ${prefix} ${name}`;
}

/**
 * Computes each weight but the last, divided by the sum of itself and those
 * after it. Weights are scaled first, so that no sum exceeds a double's range.
 */
function computeSharesOfRest(weights: readonly number[]): readonly number[] {
  const largest = Math.max(...weights);
  let rest = 0;
  return weights.toReversed()
    .map((weight) => {
      const scaled = weight / largest;
      rest += scaled;
      return rest === 0 ? 0 : scaled / rest;
    })
    .toReversed()
    .slice(0, -1);
}
