/**
 * Tracks which process instance of the backend server is current from its
 * heartbeats and departures, which may arrive late or out of order.
 */
import type { LocalBackend } from "./local_backend.ts";
import { isProvedAlive, observeEarlierInstance } from "./earlier_instance.ts";
import type { EarlierInstance } from "./earlier_instance.ts";
import type { Departure, Heartbeat } from "./backend_announcement.ts";

/** Identifies one process of a backend server, from its start to its end. */
export interface ProcessInstance {
  /** May be reused by a later process; `startedAtMs` tells these apart. */
  readonly instanceId: string;
  /** Wall-clock start time in milliseconds; undefined if not reported. */
  readonly startedAtMs: number | undefined;
}

/** An instance that was replaced or has left. */
export interface PastInstance extends ProcessInstance {
  /** Whether it said so itself; otherwise it may prove to be current after all. */
  readonly hasLeft: boolean;
}

/** State built from the announcements received from the backend server. */
export interface BackendHistory {
  /** Latest announced state; undefined before the first and after it left. */
  readonly current: LocalBackend | undefined;
  /** Sequence number of the last heartbeat accepted. */
  readonly sequence: number;
  /**
   * Instances that were replaced or have left, oldest first; late heartbeats
   * from them are ignored.
   */
  readonly pastInstances: readonly PastInstance[];
  /**
   * Latest start time of the instances known at this address, whatever their
   * ids and services; undefined if none reported one.
   */
  readonly newestStartMs: number | undefined;
  /**
   * Instance with an earlier start time that sends heartbeats; undefined if
   * none has since the last heartbeat of the current instance.
   */
  readonly earlier: EarlierInstance | undefined;
  /**
   * Sequence number of the current instance that was refused as too high;
   * undefined if none was since its last heartbeat.
   */
  readonly leap: number | undefined;
}

/** Circumstances in which a heartbeat is received. */
export interface HeartbeatReceipt {
  /** Steady clock of the node, in milliseconds. */
  readonly nowMs: number;
  /** Whether the current instance has missed several heartbeats in a row. */
  readonly isCurrentOverdue: boolean;
  /** Whether the backend server itself has named this instance. */
  readonly isConfirmed?: boolean;
}

/** More instances than can still have late heartbeats under way. */
const MAX_PAST_INSTANCES = 64;

/** State before the first announcement. */
export const EMPTY_HISTORY: BackendHistory = {
  current: undefined,
  sequence: 0,
  pastInstances: [],
  newestStartMs: undefined,
  earlier: undefined,
  leap: undefined,
};

/** Whether an instance has said that it leaves; it never comes back. */
export function hasLeft(
  { pastInstances }: BackendHistory,
  instance: ProcessInstance,
): boolean {
  return pastInstances.some((past) =>
    past.hasLeft && isSameProcess(past, instance)
  );
}

/** Whether an instance was replaced or has left. */
export function isPastInstance(
  { pastInstances }: BackendHistory,
  instance: ProcessInstance,
): boolean {
  return pastInstances.some((past) => isSameProcess(past, instance));
}

/** Records a sequence number that is too high to be believed at once. */
export function recordLeap(
  history: BackendHistory,
  leap: number,
): BackendHistory {
  return { ...history, leap };
}

/**
 * Applies a heartbeat; `current` stays the same object if the heartbeat is
 * stale.
 */
export function acceptHeartbeat(
  history: BackendHistory,
  heartbeat: Heartbeat,
  receipt: HeartbeatReceipt,
): BackendHistory {
  const { current } = history;
  const { nowMs, isConfirmed = false } = receipt;
  if (current !== undefined && isSameProcess(current, heartbeat)) {
    return heartbeat.sequence <= history.sequence
      ? acceptLateHeartbeat(history, current, { heartbeat, receipt })
      : replaceCurrent(history, heartbeat, nowMs);
  }
  if (hasLeft(history, heartbeat)) {
    return history;
  }
  if (isConfirmed) {
    // Start times that other senders named decide nothing any more.
    const confirmed = { ...history, newestStartMs: undefined };
    return replaceCurrent(confirmed, heartbeat, nowMs);
  }
  if (isPastInstance(history, heartbeat)) {
    return heartbeat.startedAtMs === undefined
      ? history
      : acceptEarlierInstance(history, heartbeat, receipt);
  }
  return isEarlierInstance(history, heartbeat)
    ? acceptEarlierInstance(history, heartbeat, receipt)
    : replaceCurrent(history, heartbeat, nowMs);
}

/**
 * Applies a heartbeat of the current instance whose sequence number is not the
 * highest. A drain holds whenever it was announced. The number itself is not
 * believed any more once its sender proves to be alive without reaching it.
 */
function acceptLateHeartbeat(
  history: BackendHistory,
  current: LocalBackend,
  { heartbeat, receipt }: {
    readonly heartbeat: Heartbeat;
    readonly receipt: HeartbeatReceipt;
  },
): BackendHistory {
  if (heartbeat.isDraining && !current.isDraining) {
    return { ...history, current: { ...current, isDraining: true } };
  }
  return acceptEarlierInstance(history, heartbeat, receipt);
}

/**
 * Applies a backend server's notice that it has left. Without a start time, the
 * notice is taken to be from the current instance if its id matches.
 */
export function acceptDeparture(
  history: BackendHistory,
  departure: Departure,
): BackendHistory {
  const { current, pastInstances } = history;
  const isCurrent = current?.instanceId === departure.instanceId &&
    (departure.startedAtMs === undefined ||
      departure.startedAtMs === current.startedAtMs);
  const departed = { ...(isCurrent ? current : departure), hasLeft: true };
  return {
    ...history,
    current: isCurrent ? undefined : current,
    pastInstances: appendInstances(pastInstances, [departed]),
    newestStartMs: selectLatest(history.newestStartMs, departed.startedAtMs),
  };
}

/** Makes the sender of a heartbeat the current instance, or updates it. */
function replaceCurrent(
  history: BackendHistory,
  heartbeat: Heartbeat,
  nowMs: number,
): BackendHistory {
  const { current, pastInstances, newestStartMs } = history;
  const { instanceId, startedAtMs, service, address, dataCentre, slots } =
    heartbeat;
  const isSame = current !== undefined && isSameProcess(current, heartbeat);
  const replaced = current === undefined || isSame
    ? []
    : [{ ...current, hasLeft: false }];
  return {
    current: {
      instanceId,
      startedAtMs,
      service,
      address,
      dataCentre,
      slots,
      // An instance that drains never returns to service.
      isDraining: heartbeat.isDraining ||
        (isSame && current.isDraining),
      warmUntilMs: nowMs + heartbeat.remainingWarmUpMs,
    },
    sequence: heartbeat.sequence,
    pastInstances: removeInstance(
      appendInstances(pastInstances, replaced),
      heartbeat,
    ),
    newestStartMs: selectLatest(newestStartMs, startedAtMs),
    earlier: undefined,
    leap: undefined,
  };
}

/**
 * Observes an instance that started earlier than the newest known one. It
 * replaces the current one once that is overdue and the heartbeats prove that
 * their sender lived after the current one's last; without start times, the
 * former is enough. Later starts are compared to its own: heartbeats from before
 * the clock was set back can't arrive any more.
 */
function acceptEarlierInstance(
  history: BackendHistory,
  heartbeat: Heartbeat,
  { nowMs, isCurrentOverdue }: HeartbeatReceipt,
): BackendHistory {
  const earlier = observeEarlierInstance(history.earlier, heartbeat, nowMs);
  const isNewHeartbeat = earlier !== history.earlier;
  const isOther = heartbeat.startedAtMs === undefined &&
    history.current?.startedAtMs !== undefined;
  const isAlive = isOther || isProvedAlive(earlier, nowMs);
  return isNewHeartbeat && isCurrentOverdue && isAlive
    ? replaceCurrent({ ...history, newestStartMs: undefined }, heartbeat, nowMs)
    : { ...history, earlier };
}

/** Compares both the id and the start time: an id may be reused. */
export function isSameProcess(a: ProcessInstance, b: ProcessInstance): boolean {
  return a.instanceId === b.instanceId && a.startedAtMs === b.startedAtMs;
}

/**
 * Whether an instance started before the newest one known at this address. One
 * without a start time is taken for earlier only under the current one's id.
 */
function isEarlierInstance(
  { current, newestStartMs }: BackendHistory,
  { instanceId, startedAtMs }: ProcessInstance,
): boolean {
  return startedAtMs === undefined
    ? current?.instanceId === instanceId && current.startedAtMs !== undefined
    : startedAtMs < (newestStartMs ?? 0);
}

function selectLatest(
  a: number | undefined,
  b: number | undefined,
): number | undefined {
  return a === undefined || b === undefined ? a ?? b : Math.max(a, b);
}

function appendInstances(
  pastInstances: readonly PastInstance[],
  instances: readonly PastInstance[],
): readonly PastInstance[] {
  const added = instances.map(({ instanceId, startedAtMs, hasLeft }) => ({
    instanceId,
    startedAtMs,
    hasLeft,
  }));
  const remaining = added.reduce(removeInstance, pastInstances);
  return [...remaining, ...added].slice(-MAX_PAST_INSTANCES);
}

function removeInstance(
  pastInstances: readonly PastInstance[],
  instance: ProcessInstance,
): readonly PastInstance[] {
  return pastInstances.filter((past) => !isSameProcess(past, instance));
}
