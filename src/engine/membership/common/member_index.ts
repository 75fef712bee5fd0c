/**
 * Index of the members by service, maintained along with the map of all
 * members.
 */
import type { Announcement } from "./announcement.ts";

/** Announcements by service, then by node id; contains no empty service. */
export type MemberIndex = ReadonlyMap<
  string,
  ReadonlyMap<string, Announcement>
>;

/** A member that was added or changed, or one that was removed. */
export interface IndexChange {
  /** Undefined for a member that was added. */
  readonly before: Announcement | undefined;
  /** Undefined for a member that was removed. */
  readonly after: Announcement | undefined;
}

/** Applies changes in order; copies the map of each affected service once. */
export function updateIndex(
  index: MemberIndex,
  changes: readonly IndexChange[],
): MemberIndex {
  if (changes.length === 0) {
    return index;
  }
  const next = new Map(index);
  const copies = new Map<string, Map<string, Announcement>>();
  const copyService = (service: string) => {
    const existing = copies.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const copy = new Map(index.get(service));
    copies.set(service, copy);
    next.set(service, copy);
    return copy;
  };
  for (const { before, after } of changes) {
    if (before !== undefined && before.service !== after?.service) {
      copyService(before.service).delete(before.nodeId);
    }
    if (after !== undefined) {
      copyService(after.service).set(after.nodeId, after);
    }
  }
  for (const [service, copy] of copies) {
    if (copy.size === 0) {
      next.delete(service);
    }
  }
  return next;
}
