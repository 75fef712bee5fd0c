/** Announcements: how a node describes itself and its backend server. */

/**
 * A node's announcement; replaced by one with a higher incarnation or sequence.
 */
export interface Announcement {
  readonly nodeId: string;
  /**
   * Identifies the process instance: the wall clock at its start, in
   * milliseconds; higher is newer.
   */
  readonly incarnation: number;
  /** Number of changes within the incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly vm: string;
  /** `host:port` at which the node receives calls of other nodes. */
  readonly ingress: string;
  /** `host:port` of the operators' listener. */
  readonly operator: string;
  /** Maximum number of requests that the backend server runs concurrently. */
  readonly slots: number;
  /** Maximum number of connections that the backend server accepts. */
  readonly connections: number;
  /** Whether the node accepts no new work. */
  readonly isDraining: boolean;
  /**
   * Process instance of the backend server; undefined before the first, and
   * from nodes that don't tell it.
   */
  readonly backendInstance?: string | undefined;
  /**
   * Process instance of the backend server that left last; undefined if none
   * has, and from nodes that don't tell it.
   */
  readonly departedInstance?: string | undefined;
}

/**
 * Returns the incarnation that a process must switch to because other processes
 * know a newer one of its node, or undefined if none is newer. That happens if
 * the wall clock was ahead when the previous process instance started; without
 * the switch the announcements of this instance would be rejected as outdated.
 */
export function renewIncarnation(
  own: Announcement,
  received: readonly Announcement[],
): number | undefined {
  const newest = received
    .filter(({ nodeId }) => nodeId === own.nodeId)
    .reduce((highest, { incarnation }) => Math.max(highest, incarnation), 0);
  return newest > own.incarnation ? newest + 1 : undefined;
}

/** Whether `next` replaces `current`. */
export function isNewerAnnouncement(
  next: Announcement,
  current: Announcement | undefined,
): boolean {
  if (current === undefined || next.incarnation > current.incarnation) {
    return true;
  }
  return next.incarnation === current.incarnation &&
    next.sequence > current.sequence;
}
