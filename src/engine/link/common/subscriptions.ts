/** Services that a node calls, and whose members it subscribes to. */
import { setEntry } from "../../../base/common/maps.ts";

/** Time of the last recorded call by service: steady clock in milliseconds. */
export type Subscriptions = ReadonlyMap<string, number>;

/** Time without a call after which a service is unsubscribed. */
export const SUBSCRIPTION_IDLE_MS = 600_000;
/** Shortest interval between recorded calls, to avoid a copy for each call. */
const RECORD_INTERVAL_MS = 60_000;

/** Records a call; returns the same map within the record interval. */
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

/** Lists the services whose subscription has been idle for too long. */
export function findUnused(
  subscriptions: Subscriptions,
  nowMs: number,
): readonly string[] {
  return [...subscriptions]
    .filter(([, usedAtMs]) => nowMs - usedAtMs > SUBSCRIPTION_IDLE_MS)
    .map(([service]) => service);
}
