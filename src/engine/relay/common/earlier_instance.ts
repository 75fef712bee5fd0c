/**
 * Decides when a process instance that started before the newest known one by
 * its wall clock is really newer: the clock may have been set back in between.
 */
import type { Heartbeat } from "./backend_announcement.ts";

/** An instance with an earlier start time whose heartbeats are observed. */
export interface EarlierInstance {
  readonly instanceId: string;
  readonly startedAtMs: number | undefined;
  /** Highest sequence number received. */
  readonly sequence: number;
  /** When the first heartbeat was received, by the node's steady clock, ms. */
  readonly firstReceivedAtMs: number;
}

/**
 * Longest delay of a heartbeat, in milliseconds. They may be seconds late; after a
 * step of the clock, a new instance has to be in use within 15 s.
 */
export const MAX_HEARTBEAT_DELAY_MS = 10_000;

/**
 * Records a heartbeat of an earlier instance; returns `observed` itself if the
 * heartbeat repeats or precedes one that was received.
 */
export function observeEarlierInstance(
  observed: EarlierInstance | undefined,
  { instanceId, startedAtMs, sequence }: Heartbeat,
  nowMs: number,
): EarlierInstance {
  const isObserved = observed?.instanceId === instanceId &&
    observed.startedAtMs === startedAtMs;
  if (!isObserved) {
    return { instanceId, startedAtMs, sequence, firstReceivedAtMs: nowMs };
  }
  return sequence > observed.sequence ? { ...observed, sequence } : observed;
}

/**
 * Whether a heartbeat that has just been recorded proves that its sender was
 * alive after `firstReceivedAtMs`. The heartbeats of an ended instance all
 * arrive within the longest delay after its end.
 */
export function isProvedAlive(
  observed: EarlierInstance,
  nowMs: number,
): boolean {
  return nowMs - observed.firstReceivedAtMs > MAX_HEARTBEAT_DELAY_MS;
}
