/** What a node says of itself and its backend server. */

/** One node's announcement; later sequences replace earlier ones. */
export interface Announcement {
  readonly nodeId: string;
  /** Set at each start of the process, in milliseconds; higher is newer. */
  readonly incarnation: number;
  /** Counts the changes within one incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly vm: string;
  /** `host:port` where other nodes send calls. */
  readonly ingress: string;
  /** `host:port` of the operators' listener. */
  readonly operator: string;
  /** Requests that the backend server runs at a time. */
  readonly slots: number;
  /** Connections that the backend server takes. */
  readonly connections: number;
  /** Whether it takes no new work. */
  readonly isDraining: boolean;
}

/**
 * Returns the incarnation that a process goes on with, where others hold a
 * newer one of its node: its clock stood ahead when the former process began,
 * and what it says now would count as old. Undefined where there is none.
 */
export function renewIncarnation(
  own: Announcement,
  heard: readonly Announcement[],
): number | undefined {
  const newest = heard
    .filter(({ nodeId }) => nodeId === own.nodeId)
    .reduce((most, { incarnation }) => Math.max(most, incarnation), 0);
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
