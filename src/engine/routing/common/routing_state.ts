/** Routing state of a node: the members of the services that it calls. */
import type { Announcement } from "../../membership/common/announcement.ts";
import type { BackendView } from "./backend_view.ts";
import type { RoutingClient } from "./subset.ts";

/** State of one service: members change rarely, views with every call. */
export interface ServiceView {
  /** Latest announcement of every member, by node id. */
  readonly members: ReadonlyMap<string, Announcement>;
  /** Incarnations that reported in an answer that they drain, by node id. */
  readonly drainSeen: ReadonlyMap<string, number>;
  /**
   * The subset that attempts are sent to: members of the own data centre
   * first.
   */
  readonly views: readonly BackendView[];
  /** Typical latency of an attempt by kind of request, in milliseconds. */
  readonly baselineMs: ReadonlyMap<string, number>;
  /** Highest of the baselines; 0 before the first answer. */
  readonly maxBaselineMs: number;
  /** Whether more than half of the views are unhealthy or ejected. */
  readonly isMostlyUnhealthy: boolean;
  /** Whether any view is ejected. */
  readonly hasEjected: boolean;
}

/** Routing state for all services that this node calls. */
export interface RoutingState {
  readonly client: RoutingClient;
  /** Views by name of the service. */
  readonly services: ReadonlyMap<string, ServiceView>;
}

/** State of a service whose members have not been listed. */
export const EMPTY_SERVICE_VIEW: ServiceView = {
  members: new Map(),
  drainSeen: new Map(),
  views: [],
  baselineMs: new Map(),
  maxBaselineMs: 0,
  isMostlyUnhealthy: false,
  hasEjected: false,
};

/** Creates the state of a node that has not called any service. */
export function createRoutingState(client: RoutingClient): RoutingState {
  return { client, services: new Map() };
}

/** Whether members of `service`, or an empty list of them, were received. */
export function isServiceKnown(state: RoutingState, service: string): boolean {
  return state.services.has(service);
}
