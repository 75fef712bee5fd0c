/** Members by service, kept beside the map of all members. */
import type { Announcement } from "./announcement.ts";

/** Announcements by node id, by service; no service is empty. */
export type MemberIndex = ReadonlyMap<
  string,
  ReadonlyMap<string, Announcement>
>;

/** A member that came or changed, or one that went. */
export interface IndexChange {
  readonly before: Announcement | undefined;
  readonly after: Announcement | undefined;
}

/** Applies changes in order; copies each service that they touch once. */
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
    const known = copies.get(service);
    if (known !== undefined) {
      return known;
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
