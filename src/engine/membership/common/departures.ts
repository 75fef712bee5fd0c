/**
 * Departures of backend servers, as held by control replicas. A node forgets at
 * its restart that its backend server has left; a heartbeat from before the
 * departure that arrives afterwards must not bring it back.
 */
import type { Announcement } from "./announcement.ts";

/** A process instance of a node's backend server that has left. */
export interface HeldDeparture {
  /** See `Announcement.backendInstance`. */
  readonly instance: string;
  /** When this replica learned of it, by its steady clock, in milliseconds. */
  readonly learnedAtMs: number;
}

/** Departures by node id, oldest first; kept when the node is lost. */
export type Departures = ReadonlyMap<string, readonly HeldDeparture[]>;

/**
 * How long a departure is held, in milliseconds: several times longer than a
 * heartbeat can be late. An instance that reports no start time and has the id
 * of one that has left is usable again after that.
 */
export const DEPARTURE_RETENTION_MS = 60_000;
/** Departures that are held of one node. */
const MAX_DEPARTURES = 8;

/** Holds the departure that an announcement names. */
export function recordDeparture(
  departures: Departures,
  { nodeId, departedInstance }: Announcement,
  nowMs: number,
): Departures {
  const held = departures.get(nodeId) ?? [];
  const isHeld = held.some(({ instance }) => instance === departedInstance);
  if (departedInstance === undefined || isHeld) {
    return departures;
  }
  const added = { instance: departedInstance, learnedAtMs: nowMs };
  return new Map(departures)
    .set(nodeId, [...held, added].slice(-MAX_DEPARTURES));
}

/**
 * Marks a node as draining if its backend server has left, and names the last
 * departure, so that the node and replicas that have restarted learn of it.
 */
export function applyDepartures(
  departures: Departures,
  announcement: Announcement,
): Announcement {
  const held = departures.get(announcement.nodeId);
  if (held === undefined) {
    return announcement;
  }
  const { backendInstance, departedInstance, isDraining } = announcement;
  const hasLeft = held.some(({ instance }) => instance === backendInstance);
  return {
    ...announcement,
    isDraining: isDraining || hasLeft,
    departedInstance: departedInstance ?? held.at(-1)?.instance,
  };
}

/** Drops the departures whose time is over; may return `departures` itself. */
export function pruneDepartures(
  departures: Departures,
  nowMs: number,
): Departures {
  const isKept = ({ learnedAtMs }: HeldDeparture) =>
    nowMs - learnedAtMs <= DEPARTURE_RETENTION_MS;
  if ([...departures.values()].every((held) => held.every(isKept))) {
    return departures;
  }
  const kept = [...departures]
    .map(([nodeId, held]) => [nodeId, held.filter(isKept)] as const)
    .filter(([, held]) => held.length > 0);
  return new Map(kept);
}
