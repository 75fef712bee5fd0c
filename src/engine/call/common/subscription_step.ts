/** Subscriptions of a node to the services that it calls. */
import { deleteEntry } from "../../../base/common/maps.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import { findDisused, noteUse } from "../../link/common/subscriptions.ts";
import type { NodeEffect } from "./call_events.ts";
import type { NodeState } from "./node_state.ts";
import type { NodeStep } from "./served_types.ts";

/** Records that a service is called. */
export function recordServiceUse(
  state: NodeState,
  service: string,
  nowMs: number,
): NodeState {
  const subscriptions = noteUse(state.subscriptions, service, nowMs);
  return subscriptions === state.subscriptions
    ? state
    : { ...state, subscriptions };
}

/** Unsubscribes from services not called lately, except the node's own. */
export function unsubscribeUnused(state: NodeState, nowMs: number): NodeStep {
  const own = state.self.service;
  const unused = findDisused(state.subscriptions, nowMs)
    .filter((service) => service !== own);
  if (unused.length === 0) {
    return createReduction(state);
  }
  let { subscriptions } = state;
  let { services } = state.routing;
  const effects: NodeEffect[] = [];
  for (const service of unused) {
    subscriptions = deleteEntry(subscriptions, service);
    services = deleteEntry(services, service);
    effects.push({ type: "UnsubscribeService", service });
  }
  const routing = { ...state.routing, services };
  return createReduction({ ...state, subscriptions, routing }, effects);
}
