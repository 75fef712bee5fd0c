/** Services whose members a node is told of: those that it calls. */
import { setEntry } from "../../../base/common/maps.ts";

/** When each service was last called: wall clocks in milliseconds. */
export type Subscriptions = ReadonlyMap<string, number>;

/** A service that isn't called for so long is unsubscribed. */
export const SUBSCRIPTION_IDLE_MS = 600_000;
/** Calls within so long of the last one noted cost nothing. */
const RECORD_INTERVAL_MS = 60_000;

/** Notes a call; the same map where the service was noted a moment ago. */
export function recordUse(
  subscriptions: Subscriptions,
  service: string,
  nowMs: number,
): Subscriptions {
  const usedAtMs = subscriptions.get(service);
  return usedAtMs !== undefined && nowMs - usedAtMs < RECORD_INTERVAL_MS
    ? subscriptions
    : setEntry(subscriptions, service, nowMs);
}

/** Finds the services that haven't been called for long. */
export function findUnused(
  subscriptions: Subscriptions,
  nowMs: number,
): readonly string[] {
  return [...subscriptions]
    .filter(([, usedAtMs]) => nowMs - usedAtMs > SUBSCRIPTION_IDLE_MS)
    .map(([service]) => service);
}
