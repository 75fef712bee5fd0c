/** Routes of requests to services, as operators replace them: one document. */
import type { Workspace } from "../../workspaces/common/workspace.ts";

/** A service that takes a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets of the route; above 0. */
  readonly weight: number;
}

/** One kind of request, recognised by host and path. */
export interface Route {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** At least one. */
  readonly targets: readonly RouteTarget[];
  /** Whether running a request twice does no harm. */
  readonly isIdempotent: boolean;
  /** When the caller has its final answer at the latest, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency within which an answer has its full value, in milliseconds. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Most backend servers that one request may be handed to. */
  readonly maxAttempts: number;
  /** Whether only requests with the key of a workspace may come. */
  readonly needsKey?: boolean;
}

/** What callers may send, and how long they may take or stay idle. */
export interface RequestLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** All routes in force. */
export interface RouteTable {
  /** Grows with every replacement, in uneven steps; 0 is the empty table. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly limits: RequestLimits;
  /** Left out where requests need no keys. */
  readonly workspaces?: readonly Workspace[];
}

/** A replacement of the whole table, as it is replicated. */
export interface RouteDocument {
  readonly table: RouteTable;
  /** The operator's own text, which reads return unchanged. */
  readonly source: string;
}

/** Limits before any table is known: those of Node's HTTP server. */
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
