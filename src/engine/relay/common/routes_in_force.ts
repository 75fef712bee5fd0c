/** The routes in force at an entry, as a request meets them. */
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

/** What a request says of where it goes. */
export interface RequestTarget {
  /** Host and, maybe, port. */
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  readonly headerBytes: number;
}

/** Holds one table at a time; shares of split routes go on over its change. */
export class RoutesInForce {
  readonly #chooser = new TargetChooser();
  #table: RouteTable | undefined;
  #index: RouteIndex = new Map();
  #routeRanks = 1;

  /** Whether a table was ever in force. */
  get hasTable(): boolean {
    return this.#table !== undefined;
  }

  /** Undefined before the first table. */
  get version(): number | undefined {
    return this.#table?.version;
  }

  /** Undefined before the first table. */
  get limits(): RequestLimits | undefined {
    return this.#table?.limits;
  }

  /** Puts another table in force. */
  replace(table: RouteTable): void {
    this.#table = table;
    this.#index = buildRouteIndex(table);
    this.#chooser.prune(table);
    this.#routeRanks = countRanks(table.routes.map(({ rank }) => rank));
  }

  /** Finds the route of a request, or the status that refuses it. */
  find(request: RequestTarget): Route | { readonly status: 404 | 431 } {
    const { host, target, headerBytes } = request;
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    const route = selectRoute(this.#index, host, path);
    if (route === undefined) {
      return { status: 404 };
    }
    const most = this.#table?.limits.maxHeaderBytes ?? Infinity;
    return headerBytes > most ? { status: 431 } : route;
  }

  /** Chooses the service of a route's next request. */
  chooseService(route: Route): string {
    return this.#chooser.choose(route);
  }

  /** Computes the rank of a workspace's request on a route. */
  computeRank(route: Route, workspace: Workspace | undefined): number {
    return joinRanks(this.#routeRanks, workspace, route.rank);
  }
}
