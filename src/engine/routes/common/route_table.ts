/** Routes of requests to services; operators replace all of them at once. */
import type { Workspace } from "../../workspaces/common/workspace.ts";

/** A service that takes a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets; not negative, above 0 for one of them. */
  readonly weight: number;
}

/** One kind of request, identified by host and path prefix. */
export interface Route {
  readonly name: string;
  /**
   * As `formatHost` writes it. With a port, the route is for requests to that
   * port only, without one for those to any port.
   */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** At least one. */
  readonly targets: readonly RouteTarget[];
  /** Whether a request may be run twice without harm. */
  readonly isIdempotent: boolean;
  /** Time within which the caller gets its final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: a later answer has less value; in milliseconds. */
  readonly objectiveMs: number;
  /** Urgency of the requests; a whole number, 0 is the most urgent. */
  readonly rank: number;
  /** Maximum number of backend servers that one request is sent to. */
  readonly maxAttempts: number;
  /** Whether requests need the key of a workspace. */
  readonly needsKey?: boolean;
}

/** Limits on the sizes and times of callers' requests. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time within which the header of a request must arrive. */
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number;
}

/** Where the backend servers of a service answer about their health. */
export interface HealthCheck {
  readonly service: string;
  /** Begins with a slash; all characters are visible ASCII. */
  readonly path: string;
}

/** All routes in force. */
export interface RouteTable {
  /** Increases with every replacement, not always by 1; 0: the empty table. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly limits: RequestLimits;
  /**
   * Digest of the text that the table was parsed from, for logs; undefined in
   * tables that an earlier build has stored.
   */
  readonly digest?: string;
  /** Undefined in tables that an earlier build has stored. */
  readonly healthChecks?: readonly HealthCheck[];
  /** Undefined if requests need no keys. */
  readonly workspaces?: readonly Workspace[];
}

/** A replacement of the whole table, as replicated among control replicas. */
export interface RouteDocument {
  readonly table: RouteTable;
  /** The operator's original text, which reads return unchanged. */
  readonly source: string;
}

/** Limits before any table is known, equal to those of Node's HTTP server. */
export const DEFAULT_LIMITS: RequestLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headerTimeoutMs: 60_000,
  idleTimeoutMs: 5_000,
};

/** The table before any replacement. */
export const EMPTY_ROUTES: RouteTable = {
  version: 0,
  routes: [],
  limits: DEFAULT_LIMITS,
};

/** The document before any replacement. */
export const EMPTY_DOCUMENT: RouteDocument = {
  table: EMPTY_ROUTES,
  source: "",
};
