/** What a node knows of the services that it calls. */
import type { Announcement } from "../../membership/common/announcement.ts";
import type { BackendView } from "./backend_view.ts";
import type { RoutingClient } from "./subset.ts";

/** One service: members change rarely, views with every call. */
export interface ServiceView {
  /** Everybody announced, by node id. */
  readonly members: ReadonlyMap<string, Announcement>;
  /** Incarnations that said on an answer that they drain, by node id. */
  readonly drainSeen: ReadonlyMap<string, number>;
  /** The subset that takes work, near ones first. */
  readonly views: readonly BackendView[];
  /** Usual time of an attempt by kind of request, in milliseconds. */
  readonly baselineMs: ReadonlyMap<string, number>;
  readonly maxBaselineMs: number;
  readonly isMostlyUnhealthy: boolean;
  readonly hasEjected: boolean;
}

/** All services that this node calls. */
export interface RoutingState {
  readonly client: RoutingClient;
  readonly services: ReadonlyMap<string, ServiceView>;
}

/** A service whose members were not listed yet. */
export const EMPTY_SERVICE_VIEW: ServiceView = {
  members: new Map(),
  drainSeen: new Map(),
  views: [],
  baselineMs: new Map(),
  maxBaselineMs: 0,
  isMostlyUnhealthy: false,
  hasEjected: false,
};

/** Creates the state of a node that has called nobody yet. */
export function createRoutingState(client: RoutingClient): RoutingState {
  return { client, services: new Map() };
}

/** Whether the members of `service` were ever listed. */
export function isServiceKnown(state: RoutingState, service: string): boolean {
  return state.services.has(service);
}
