/**
 * The routes in force at an entry node, with the lookup of a request's route.
 */
import {
  buildRouteIndex,
  selectRoute,
  TargetChooser,
} from "../../routes/common/route_match.ts";
import type { RouteIndex } from "../../routes/common/route_match.ts";
import type {
  RequestLimits,
  Route,
  RouteTable,
} from "../../routes/common/route_table.ts";
import { countRanks, joinRanks } from "../../workspaces/common/workspace.ts";
import type { Workspace } from "../../workspaces/common/workspace.ts";

/** The parts of a request that determine its route. */
export interface RequestTarget {
  /** Host with an optional port. */
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Size of the request's headers. */
  readonly headerBytes: number;
}

/**
 * Holds the current route table. The distribution of split routes over their
 * targets continues when the table is replaced.
 */
export class RoutesInForce {
  readonly #chooser: TargetChooser;
  #table: RouteTable | undefined;
  #index: RouteIndex = new Map();
  #routeRanks = 1;

  /** `draw` returns a random number from 0 to 1. */
  constructor(draw: () => number) {
    this.#chooser = new TargetChooser(draw);
  }

  /** Whether a table has been put in force. */
  get hasTable(): boolean {
    return this.#table !== undefined;
  }

  /** Version of the table; undefined before the first one. */
  get version(): number | undefined {
    return this.#table?.version;
  }

  /** Limits on requests; undefined before the first table. */
  get limits(): RequestLimits | undefined {
    return this.#table?.limits;
  }

  /** Puts a table in force. */
  replace(table: RouteTable): void {
    this.#table = table;
    this.#index = buildRouteIndex(table);
    this.#chooser.prune(table);
    this.#routeRanks = countRanks(table.routes.map(({ rank }) => rank));
  }

  /** Finds the route of a request, or the HTTP status that refuses it. */
  find(request: RequestTarget): Route | { readonly status: 404 | 431 } {
    const { host, target, headerBytes } = request;
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    const route = selectRoute(this.#index, host, path);
    if (route === undefined) {
      return { status: 404 };
    }
    const maxBytes = this.#table?.limits.maxHeaderBytes ?? Infinity;
    return headerBytes > maxBytes ? { status: 431 } : route;
  }

  /** Chooses the service that receives the next request of a route. */
  chooseService(route: Route): string {
    return this.#chooser.choose(route);
  }

  /**
   * Computes the rank of a request from its workspace's and its route's rank.
   */
  computeRank(route: Route, workspace: Workspace | undefined): number {
    return joinRanks(this.#routeRanks, workspace, route.rank);
  }
}
