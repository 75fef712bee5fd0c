/** Identity and announced state of a node's own backend server. */

import type { IpEndpoint } from "../../../base/common/ip_endpoint.ts";

/** The backend server of this node, as it announced itself. */
export interface LocalBackend {
  readonly instanceId: string;
  /**
   * Wall-clock time of its start, in milliseconds. It tells process instances
   * apart: a restarted backend server may keep its `instanceId`, but no longer
   * runs its earlier calls. Undefined if the backend server doesn't report it.
   */
  readonly startedAtMs: number | undefined;
  readonly service: string;
  readonly address: IpEndpoint;
  readonly dataCentre: string;
  /** Number of requests that it can run at the same time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /**
   * End of the slow phase after its start, in milliseconds by this node's steady
   * clock. The name is part of the body of `GET /status`.
   */
  readonly warmUntilMs: number;
}

/** Whether two announcements are of the same process instance. */
export function isSameProcessInstance(
  a: LocalBackend | undefined,
  b: LocalBackend | undefined,
): boolean {
  return a?.instanceId === b?.instanceId && a?.startedAtMs === b?.startedAtMs;
}

/**
 * Formats the identity of a process instance that ended, as its node and others
 * know it: instance ids may be unique at one node only.
 */
export function formatEndedInstance(instance: string, ingress: string): string {
  return `${instance}@${ingress}`;
}

/** Formats the identity of a process instance; equal for the same one only. */
export function formatInstance(
  { instanceId, startedAtMs }: Pick<LocalBackend, "instanceId" | "startedAtMs">,
): string {
  return startedAtMs === undefined
    ? instanceId
    : `${instanceId} ${startedAtMs}`;
}
