/** Selects the control replica that a process is linked to, with failover. */
import { hashText } from "../../../base/common/hash.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import { LINK_TIMEOUT_MS } from "./link_messages.ts";

/** The link of a process to one control replica. Times are in milliseconds. */
export interface LinkState {
  /** Id of the process; seeds the jitter. */
  readonly id: string;
  readonly pace: LinkTiming;
  /** Addresses as `host:port`, nearest first; never empty. */
  readonly replicas: readonly string[];
  /** Index in `replicas` of the one in use, or of the next one to open. */
  readonly replicaIndex: number;
  /** Number of the current link: counts the links opened by this process. */
  readonly linkNumber: number;
  readonly phase: "waiting" | "connecting" | "open";
  /** When the next link is opened; applies while `waiting`. */
  readonly openAtMs: number;
  /** Last message, or the start of connecting. */
  readonly lastReceivedAtMs: number;
  /** When the current link was opened. */
  readonly openedAtMs: number;
  /** Links that failed since a message was last received. */
  readonly consecutiveFailures: number;
  /**
   * First unconfirmed message of this link since its last confirmed one;
   * undefined while confirmed. A replica without a quorum is not confirmed.
   */
  readonly unconfirmedSinceMs: number | undefined;
  /** Links abandoned since the last confirmed message for lack of a quorum. */
  readonly unconfirmedCount: number;
  /**
   * Time since `openedAtMs` after which the nearest replica is tried again.
   * Doubles with each try until a message from the nearest one is received.
   */
  readonly returnAfterMs: number;
}

/** Time limits and backoff of a link, in milliseconds. */
export interface LinkTiming {
  /** Time limit of opening a link. */
  readonly connectMs: number;
  /** Time without a message after which a link is closed. */
  readonly silenceMs: number;
  /** Upper bound of the backoff before the next link. */
  readonly maxBackoffMs: number;
  /** How long a link to a replica without a quorum is kept initially. */
  readonly unconfirmedMs: number;
  /** Upper bound of the same; it doubles with each such replica in a row. */
  readonly maxUnconfirmedMs: number;
}

/** An event of the link. Events of an earlier `linkNumber` are ignored. */
export type LinkEvent =
  | { readonly type: "LinkOpened"; readonly linkNumber: number }
  | { readonly type: "LinkClosed"; readonly linkNumber: number }
  | {
    readonly type: "MessageReceived";
    readonly linkNumber: number;
    /**
     * Whether the replica has proved its state to be current, which takes a
     * quorum; undefined if the message doesn't state it.
     */
    readonly isConfirmed: boolean | undefined;
  }
  /** New addresses; the current link stays open even if no longer listed. */
  | { readonly type: "ReplicasLearned"; readonly replicas: readonly string[] }
  | { readonly type: "Ticked" };

/** An effect that the link client performs. */
export type LinkEffect =
  | {
    readonly type: "OpenLink";
    readonly replica: string;
    readonly linkNumber: number;
  }
  | { readonly type: "CloseLink"; readonly linkNumber: number };

/** Result of reducing one event. */
export type LinkStep = Reduction<LinkState, LinkEffect>;

/** Default time limit of opening a link. */
export const CONNECT_TIMEOUT_MS = 1_500;
/** Initial backoff; doubles with each round over all replicas. */
export const MIN_BACKOFF_MS = 250;
/** Default upper bound of the backoff. */
export const MAX_BACKOFF_MS = 5_000;
/** Default initial time on a replica without a quorum. */
export const MIN_UNCONFIRMED_MS = 5_000;
/** Default upper bound of that time: a fleet that reconnects is a load. */
export const MAX_UNCONFIRMED_MS = 320_000;
/** Initial time on a farther replica before returning to the nearest one. */
export const MIN_RETURN_MS = 60_000;
/** Timing of links whose options set none. */
export const DEFAULT_LINK_TIMING: LinkTiming = {
  connectMs: CONNECT_TIMEOUT_MS,
  silenceMs: LINK_TIMEOUT_MS,
  maxBackoffMs: MAX_BACKOFF_MS,
  unconfirmedMs: MIN_UNCONFIRMED_MS,
  maxUnconfirmedMs: MAX_UNCONFIRMED_MS,
};
/** Upper bound of the time on a farther replica; it doubles with each return. */
const MAX_RETURN_MS = 960_000;
/** Upper bound of the doublings of a backoff or a time limit. */
const MAX_DOUBLINGS = 6;

/** Creates a link that is opened at the first tick. */
export function createLink(
  id: string,
  replicas: readonly string[],
  pace: LinkTiming = DEFAULT_LINK_TIMING,
): LinkState {
  return {
    id,
    pace,
    replicas,
    replicaIndex: 0,
    linkNumber: 0,
    phase: "waiting",
    openAtMs: 0,
    lastReceivedAtMs: 0,
    openedAtMs: 0,
    consecutiveFailures: 0,
    unconfirmedSinceMs: undefined,
    unconfirmedCount: 0,
    returnAfterMs: MIN_RETURN_MS,
  };
}

/** Reduces one event of the link. */
export function reduceLink(
  state: LinkState,
  event: LinkEvent,
  nowMs: number,
): LinkStep {
  if (event.type === "Ticked") {
    return tick(state, nowMs);
  }
  if (event.type === "ReplicasLearned") {
    return createReduction(updateReplicas(state, event.replicas));
  }
  if (event.linkNumber !== state.linkNumber || state.phase === "waiting") {
    return createReduction(state);
  }
  switch (event.type) {
    case "LinkOpened":
      return createReduction({
        ...state,
        phase: "open",
        lastReceivedAtMs: nowMs,
        openedAtMs: nowMs,
        unconfirmedSinceMs: undefined,
      });
    case "LinkClosed":
      return createReduction(recordFailure(state, nowMs));
    case "MessageReceived":
      return createReduction(recordMessage(state, event.isConfirmed, nowMs));
  }
}

function tick(state: LinkState, nowMs: number): LinkStep {
  switch (state.phase) {
    case "waiting":
      return nowMs < state.openAtMs
        ? createReduction(state)
        : openLink(state, nowMs);
    case "connecting":
      return nowMs - state.lastReceivedAtMs > state.pace.connectMs
        ? closeLink(state, recordFailure(state, nowMs))
        : createReduction(state);
    case "open":
      return checkOpenLink(state, nowMs);
  }
}

/** Keeps the order of known replicas and the one in use; appends new ones. */
function updateReplicas(
  state: LinkState,
  listed: readonly string[],
): LinkState {
  const current = state.replicas[state.replicaIndex]!;
  const kept = state.replicas
    .filter((replica) => replica === current || listed.includes(replica));
  const added = listed.filter((replica) => !kept.includes(replica));
  if (added.length === 0 && kept.length === state.replicas.length) {
    return state;
  }
  const replicas = [...kept, ...added];
  return { ...state, replicas, replicaIndex: replicas.indexOf(current) };
}

function checkOpenLink(state: LinkState, nowMs: number): LinkStep {
  if (nowMs - state.lastReceivedAtMs > state.pace.silenceMs) {
    return closeLink(state, recordFailure(state, nowMs));
  }
  const { unconfirmedSinceMs, unconfirmedCount, replicas } = state;
  const { unconfirmedMs, maxUnconfirmedMs } = state.pace;
  const doubledMs = unconfirmedMs *
    2 ** Math.min(unconfirmedCount, MAX_DOUBLINGS);
  const limitMs = Math.min(maxUnconfirmedMs, doubledMs);
  const isUnconfirmed = unconfirmedSinceMs !== undefined &&
    nowMs - unconfirmedSinceMs > limitMs;
  if (isUnconfirmed && replicas.length > 1) {
    const replicaIndex = (state.replicaIndex + 1) % replicas.length;
    return closeLink(state, {
      ...scheduleLink(state, replicaIndex, nowMs),
      unconfirmedCount: unconfirmedCount + 1,
    });
  }
  const isReturnDue = state.replicaIndex > 0 && unconfirmedCount === 0 &&
    nowMs - state.openedAtMs > state.returnAfterMs * (1 + computeJitter(state));
  if (!isReturnDue) {
    return createReduction(state);
  }
  const returnAfterMs = Math.min(MAX_RETURN_MS, state.returnAfterMs * 2);
  return closeLink(state, { ...scheduleLink(state, 0, nowMs), returnAfterMs });
}

function openLink(state: LinkState, nowMs: number): LinkStep {
  const linkNumber = state.linkNumber + 1;
  const replica = state.replicas[state.replicaIndex]!;
  const next: LinkState = {
    ...state,
    linkNumber,
    phase: "connecting",
    lastReceivedAtMs: nowMs,
  };
  return createReduction(next, [{ type: "OpenLink", replica, linkNumber }]);
}

function closeLink(before: LinkState, next: LinkState): LinkStep {
  const { linkNumber } = before;
  return createReduction(next, [{ type: "CloseLink", linkNumber }]);
}

function recordMessage(
  state: LinkState,
  isConfirmed: boolean | undefined,
  nowMs: number,
): LinkState {
  const received: LinkState = {
    ...state,
    lastReceivedAtMs: nowMs,
    consecutiveFailures: 0,
    returnAfterMs: state.replicaIndex === 0
      ? MIN_RETURN_MS
      : state.returnAfterMs,
  };
  switch (isConfirmed) {
    case undefined:
      return received;
    case true:
      return {
        ...received,
        unconfirmedSinceMs: undefined,
        unconfirmedCount: 0,
      };
    case false: {
      const unconfirmedSinceMs = state.unconfirmedSinceMs ?? nowMs;
      return { ...received, unconfirmedSinceMs };
    }
  }
}

/**
 * Schedules the link after a failure: to the nearest other replica if the link
 * was open and no failure preceded it, otherwise to the next in the list.
 */
function recordFailure(state: LinkState, nowMs: number): LinkState {
  const { replicas, replicaIndex, consecutiveFailures } = state;
  const isWorking = state.phase === "open" && consecutiveFailures === 0;
  const nearest = replicaIndex === 0 ? 1 : 0;
  const next = isWorking ? nearest : replicaIndex + 1;
  const failed = { ...state, consecutiveFailures: consecutiveFailures + 1 };
  return scheduleLink(failed, next % replicas.length, nowMs);
}

/** Schedules a link with a jittered backoff that doubles with each round. */
function scheduleLink(
  state: LinkState,
  replicaIndex: number,
  nowMs: number,
): LinkState {
  const round = Math.floor(state.consecutiveFailures / state.replicas.length);
  const backoffMs = Math.min(
    state.pace.maxBackoffMs,
    MIN_BACKOFF_MS * 2 ** Math.min(round, MAX_DOUBLINGS),
  );
  const delayMs = backoffMs * (1 + computeJitter(state)) / 2;
  return {
    ...state,
    replicaIndex,
    phase: "waiting",
    openAtMs: nowMs + delayMs,
    unconfirmedSinceMs: undefined,
  };
}

/** Computes a jitter from 0 to 1 that differs by process and by link. */
function computeJitter(state: LinkState): number {
  return hashText(`${state.id}/${state.linkNumber}`) / 2 ** 32;
}
