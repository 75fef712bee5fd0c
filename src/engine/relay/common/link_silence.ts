/** When a node that says nothing is taken for cut off. */
import type { Attempt } from "./entry_types.ts";
import type { Member } from "./member.ts";

/** When an address was last heard; undefined without a link, as for the own. */
export type GetLastReceivedMs = (address: string) => number | undefined;

/**
 * Silence on a link with calls in progress after which it is given up: several
 * reports of the other end, 100 ms apart, did not come.
 */
export const LINK_SILENCE_LIMIT_MS = 1_200;
/**
 * Silence after which other members are chosen: three reports did not come.
 * Each call sent to a node that is cut off is lost, or late by its time limit.
 */
const SUSPECT_MS = 350;
/**
 * Silence after which a call that may be repeated goes elsewhere: a usual time
 * limit, 800 ms, leaves room for a second run by then.
 */
export const CALL_STALL_LIMIT_MS = 500;

/** Measures how long a call's node has said nothing; 0 on this node. */
export function measureCallSilence(
  attempt: Attempt | undefined,
  getHeardAtMs: GetLastReceivedMs,
  nowMs: number,
): number {
  if (attempt === undefined) {
    return 0;
  }
  const heardAtMs = getHeardAtMs(attempt.address);
  return heardAtMs === undefined
    ? 0
    : nowMs - Math.max(heardAtMs, attempt.sentAtMs);
}

/** Whether a member has been silent while calls are in progress there. */
export function isMemberSilent(
  member: Member,
  getHeardAtMs: GetLastReceivedMs,
  nowMs: number,
): boolean {
  const { announcement, outstanding, busySinceMs } = member;
  const heardAtMs = getHeardAtMs(announcement.ingress);
  return heardAtMs !== undefined && outstanding > 0 &&
    nowMs - Math.max(heardAtMs, busySinceMs) > SUSPECT_MS;
}
