/** Which control replica a process holds its link to, and when it changes. */
import { hashText } from "../../../base/common/hash.ts";
import { createReduction } from "../../../base/common/reduction.ts";
import type { Reduction } from "../../../base/common/reduction.ts";
import { LINK_TIMEOUT_MS } from "./link_messages.ts";

/** The one link of a process. Times are wall clocks in milliseconds. */
export interface LinkState {
  /** Seeds the jitter. */
  readonly id: string;
  readonly pace: LinkTiming;
  /** `host:port`, nearest first. */
  readonly replicas: readonly string[];
  readonly replicaIndex: number;
  /** Counts the links that were opened; names the present one. */
  readonly linkNumber: number;
  readonly phase: "waiting" | "connecting" | "open";
  /** When the next link is opened, while waiting. */
  readonly openAtMs: number;
  readonly lastReceivedAtMs: number;
  readonly openedAtMs: number;
  /** Links that failed since one worked. */
  readonly consecutiveFailures: number;
  readonly unconfirmedSinceMs: number | undefined;
  /** Replicas left in a row for want of a quorum. */
  readonly unconfirmedCount: number;
  /** When the nearest replica is tried again, from `openedAtMs` on. */
  readonly returnAfterMs: number;
}

/** How soon a link is given up, and how long the next one waits. */
export interface LinkTiming {
  /** Longest time that opening a link may take. */
  readonly connectMs: number;
  /** Silence after which the other end is given up. */
  readonly silenceMs: number;
  /** Longest backoff, in milliseconds. */
  readonly maxBackoffMs: number;
  /** How long a replica without a quorum is kept at first. */
  readonly unconfirmedMs: number;
  /** Longest that one is kept; doubled up to it while none has a quorum. */
  readonly maxUnconfirmedMs: number;
}

/** What happens to the link. */
export type LinkEvent =
  | { readonly type: "LinkOpened"; readonly linkNumber: number }
  | { readonly type: "LinkClosed"; readonly linkNumber: number }
  | {
    readonly type: "MessageReceived";
    readonly linkNumber: number;
    /** What the replica said of itself, if anything. */
    readonly isConfirmed: boolean | undefined;
  }
  /** The present link stays where its replica is still listed. */
  | { readonly type: "ReplicasLearned"; readonly replicas: readonly string[] }
  | { readonly type: "Ticked" };

/** What is done about it. */
export type LinkEffect =
  | {
    readonly type: "OpenLink";
    readonly replica: string;
    readonly linkNumber: number;
  }
  | { readonly type: "CloseLink"; readonly linkNumber: number };

/** A step of the link. */
export type LinkStep = Reduction<LinkState, LinkEffect>;

/** Longest time that opening a link may take. */
export const CONNECT_TIMEOUT_MS = 1_500;
/** First backoff, in milliseconds; doubled with each round. */
export const MIN_BACKOFF_MS = 250;
/** Longest backoff, in milliseconds. */
export const MAX_BACKOFF_MS = 5_000;
/** How long a replica without a quorum is kept at first. */
export const MIN_UNCONFIRMED_MS = 5_000;
/** How long one is kept at most: a fleet that searches is a load. */
export const MAX_UNCONFIRMED_MS = 320_000;
/** When a process goes back to its nearest replica, at the least. */
export const MIN_RETURN_MS = 60_000;
/** The pace where the settings name no other. */
export const DEFAULT_LINK_TIMING: LinkTiming = {
  connectMs: CONNECT_TIMEOUT_MS,
  silenceMs: LINK_TIMEOUT_MS,
  maxBackoffMs: MAX_BACKOFF_MS,
  unconfirmedMs: MIN_UNCONFIRMED_MS,
  maxUnconfirmedMs: MAX_UNCONFIRMED_MS,
};
const MAX_RETURN_MS = 960_000;
const MAX_DOUBLINGS = 6;

/** Creates a link that opens at the first tick. */
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

/** Steps the link. */
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
        heardMs: nowMs,
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

/** The replica in use keeps its place; those that are new come last. */
function updateReplicas(
  state: LinkState,
  learned: readonly string[],
): LinkState {
  const current = state.replicas[state.replicaIndex]!;
  const kept = state.replicas
    .filter((replica) => replica === current || learned.includes(replica));
  const added = learned.filter((replica) => !kept.includes(replica));
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
  const patienceMs = Math.min(maxUnconfirmedMs, doubledMs);
  const isUnconfirmed = unconfirmedSinceMs !== undefined &&
    nowMs - unconfirmedSinceMs > patienceMs;
  if (isUnconfirmed && replicas.length > 1) {
    const index = (state.replicaIndex + 1) % replicas.length;
    return closeLink(state, {
      ...scheduleLink(state, index, nowMs),
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
  const heard: LinkState = {
    ...state,
    lastReceivedAtMs: nowMs,
    consecutiveFailures: 0,
    returnAfterMs: state.replicaIndex === 0
      ? MIN_RETURN_MS
      : state.returnAfterMs,
  };
  switch (isConfirmed) {
    case undefined:
      return heard;
    case true:
      return { ...heard, unconfirmedSinceMs: undefined, unconfirmedCount: 0 };
    case false: {
      const unconfirmedSinceMs = state.unconfirmedSinceMs ?? nowMs;
      return { ...heard, unconfirmedSinceMs };
    }
  }
}

/** A link that worked is replaced by the nearest other one. */
function recordFailure(state: LinkState, nowMs: number): LinkState {
  const { replicas, replicaIndex: index, consecutiveFailures: failures } =
    state;
  const isWorking = state.phase === "open" && failures === 0;
  const nearest = index === 0 ? 1 : 0;
  const next = isWorking ? nearest : index + 1;
  const failed = { ...state, failures: failures + 1 };
  return scheduleLink(failed, next % replicas.length, nowMs);
}

/** Waits with a backoff that grows with each round over all replicas. */
function scheduleLink(
  state: LinkState,
  index: number,
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
    replicaIndex: index,
    phase: "waiting",
    openAtMs: nowMs + delayMs,
    unconfirmedSinceMs: undefined,
  };
}

/** From 0 to 1; differs between processes and between links. */
function computeJitter(state: LinkState): number {
  return hashText(`${state.id}/${state.linkNumber}`) / 2 ** 32;
}
