/** Detects nodes that stopped sending on their links. */
import type { Attempt } from "./entry_types.ts";
import type { Member } from "./member.ts";

/**
 * Returns when a message of the node at an address was last received; undefined
 * if there is no link, as to the own node.
 */
export type GetLastReceivedAtMs = (address: string) => number | undefined;

/**
 * A link with calls in progress is closed after this silence. The other end
 * sends a report every 100 ms, so by then several have been missed.
 */
export const LINK_SILENCE_LIMIT_MS = 1_200;
/**
 * Other members are preferred after this silence, that is, after three missed
 * reports. Each call sent to a disconnected node is lost, or late by its
 * timeout.
 */
const MEMBER_SILENCE_LIMIT_MS = 350;
/**
 * An idempotent call is retried at another member after this silence. With a
 * usual timeout of 800 ms that leaves enough time for a second run.
 */
export const CALL_STALL_LIMIT_MS = 500;

/**
 * Measures for how long nothing was received from the node of an attempt since
 * the attempt was sent; 0 if there is no attempt, or it is at the own node.
 * `readUntilMs` is the time up to which all messages that arrived have been
 * read: a process that was suspended takes no other one to be silent.
 */
export function measureCallSilence(
  attempt: Attempt | undefined,
  getLastReceivedAtMs: GetLastReceivedAtMs,
  readUntilMs: number,
): number {
  if (attempt === undefined) {
    return 0;
  }
  const lastReceivedAtMs = getLastReceivedAtMs(attempt.address);
  return lastReceivedAtMs === undefined ? 0 : Math.max(
    0,
    readUntilMs - Math.max(lastReceivedAtMs, attempt.sentAtMs),
  );
}

/**
 * Whether a member with calls in progress has been silent for too long;
 * `readUntilMs` as above.
 */
export function isMemberSilent(
  member: Member,
  getLastReceivedAtMs: GetLastReceivedAtMs,
  readUntilMs: number,
): boolean {
  const { announcement, outstanding, busySinceMs } = member;
  const lastReceivedAtMs = getLastReceivedAtMs(announcement.ingress);
  return lastReceivedAtMs !== undefined && outstanding > 0 &&
    readUntilMs - Math.max(lastReceivedAtMs, busySinceMs) >
      MEMBER_SILENCE_LIMIT_MS;
}
