/**
 * Decides whose heartbeat it is that arrived at a node. Other writers may send
 * heartbeats too, with fields missing or with figures that would silence the
 * VM's own backend server; an announcement that can't be its own changes
 * nothing.
 */
import { isSameEndpoint } from "../../../base/common/ip_endpoint.ts";
import type { IpEndpoint } from "../../../base/common/ip_endpoint.ts";
import { hasLeft, isPastInstance, isSameProcess } from "./backend_history.ts";
import type { BackendHistory } from "./backend_history.ts";
import type { Heartbeat, InstanceAnswer } from "./backend_announcement.ts";

/** The backend server of a VM, as its settings name it. */
export interface OwnBackend {
  readonly service: string;
  /** Undefined if the settings don't name it. */
  readonly address: IpEndpoint | undefined;
}

/** What a decision is based on, beside the heartbeat and the history. */
export interface ClaimContext {
  readonly own: OwnBackend;
  /** Whether the current instance is in use and sends heartbeats. */
  readonly isCurrentLive: boolean;
  /** What the server says about its id; undefined before it was asked. */
  readonly answer: InstanceAnswer | undefined;
  /** Time since the last heartbeat of the current instance, in milliseconds. */
  readonly sinceCurrentMs: number;
  /** Interval of heartbeats in the settings, in milliseconds. */
  readonly heartbeatMs: number;
  /** Wall clock of the node, in milliseconds. */
  readonly wallClockMs: number;
}

/** Why a heartbeat changes nothing. */
export type ClaimRefusal =
  | "other address"
  | "other service"
  | "instance was replaced"
  | "other instance at the address"
  | "no start time"
  | "start time in the future"
  | "sequence leaps";

/** What to do with a heartbeat. */
export type ClaimDecision =
  /** `isConfirmed` if nothing else can be the server by now. */
  | { readonly type: "Accept"; readonly isConfirmed: boolean }
  /** Two senders claim the address: ask the server which one it is. */
  | { readonly type: "AskServer" }
  | {
    readonly type: "Refuse";
    readonly cause: ClaimRefusal;
    /** A sentence for the sender and the log. */
    readonly reason: string;
  }
  /** The server did not say who it is; the current one stays until then. */
  | { readonly type: "TryLater"; readonly reason: string };

/**
 * A start time may be ahead of the node's clock by this much. Clocks differ, and
 * may be set by seconds.
 */
const MAX_START_LEAD_MS = 3_600_000;
/** A sender that counts more calls than these is not plausible. */
const MAX_CALLS_PER_INTERVAL = 1_000;

const ACCEPT: ClaimDecision = { type: "Accept", isConfirmed: false };
const CONFIRM: ClaimDecision = { type: "Accept", isConfirmed: true };

/** Decides on a heartbeat; its fields have been checked one by one. */
export function decideClaim(
  history: BackendHistory,
  heartbeat: Heartbeat,
  context: ClaimContext,
): ClaimDecision {
  const { own } = context;
  const { address, service, instanceId } = heartbeat;
  if (own.address !== undefined && !isSameEndpoint(own.address, address)) {
    return refuse("other address", "The settings name another address");
  }
  if (service !== own.service) {
    const reason = `The backend server here is of service ${own.service}`;
    return refuse("other service", reason);
  }
  const { current } = history;
  // One that has left may go on to announce itself until it ends.
  if (current === undefined || hasLeft(history, heartbeat)) {
    return ACCEPT;
  }
  if (isSameProcess(current, heartbeat)) {
    return decideUpdate(history, heartbeat, context);
  }
  return current.instanceId === instanceId
    ? decideRestart(history, heartbeat, context)
    : decideReplacement(history, heartbeat, context);
}

/** Decides on a further heartbeat of the current instance. */
function decideUpdate(
  { sequence, leap }: BackendHistory,
  heartbeat: Heartbeat,
  { sinceCurrentMs, heartbeatMs }: ClaimContext,
): ClaimDecision {
  const intervals = 1 + sinceCurrentMs / Math.max(1, heartbeatMs);
  const isLeap =
    heartbeat.sequence > sequence + MAX_CALLS_PER_INTERVAL * intervals;
  // A second leap in a row is how this sender counts.
  const isRepeated = leap !== undefined && heartbeat.sequence > leap;
  return isLeap && !isRepeated
    ? refuse(
      "sequence leaps",
      `The sequence number leaps from ${sequence} to ${heartbeat.sequence}`,
    )
    : ACCEPT;
}

/**
 * Decides on a heartbeat under the current id, but with another start time. The
 * server can't be asked about it, as it names its id only.
 */
function decideRestart(
  { current }: BackendHistory,
  { startedAtMs }: Heartbeat,
  { isCurrentLive, wallClockMs }: ClaimContext,
): ClaimDecision {
  if (!isCurrentLive || current === undefined) {
    return ACCEPT;
  }
  const latestMs = wallClockMs + MAX_START_LEAD_MS;
  if (startedAtMs === undefined) {
    return refuse("no start time", "The instance has named its start time");
  }
  if (startedAtMs > latestMs) {
    const reason = `The start time ${startedAtMs} lies in the future`;
    return refuse("start time in the future", reason);
  }
  return (current.startedAtMs ?? 0) > latestMs ? CONFIRM : ACCEPT;
}

/** Decides on a heartbeat under another id than the current one. */
function decideReplacement(
  history: BackendHistory,
  heartbeat: Heartbeat,
  { isCurrentLive, answer }: ClaimContext,
): ClaimDecision {
  const { instanceId, startedAtMs } = heartbeat;
  const lacksStartTime = startedAtMs === undefined &&
    history.newestStartMs !== undefined;
  const isPast = isPastInstance(history, heartbeat);
  if (!isCurrentLive && !lacksStartTime && !isPast) {
    return ACCEPT;
  }
  switch (answer?.type) {
    case undefined:
      return { type: "AskServer" };
    case "Named":
      return answer.instanceId === instanceId
        ? CONFIRM
        : refuseOther(answer.instanceId);
    case "Denied":
      return refuseOther("another");
    case "Unknown":
      break;
  }
  if (isCurrentLive) {
    return { type: "TryLater", reason: answer.reason };
  }
  return isPast
    ? refuse("instance was replaced", `${instanceId} was replaced`)
    : refuse("no start time", "Instances here name their start time");
}

function refuseOther(id: string): ClaimDecision {
  const reason = `The server at this address is instance ${id}`;
  return refuse("other instance at the address", reason);
}

function refuse(cause: ClaimRefusal, reason: string): ClaimDecision {
  return { type: "Refuse", cause, reason };
}
