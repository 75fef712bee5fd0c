/**
 * Checks of a soak test of configurations: by which of them nodes handled
 * requests.
 */
import type { ConfigCall } from "./config_callers.ts";
import {
  APPLY_MS,
  findAcknowledgedVersion,
  findAcknowledgement,
  listPossibleOrders,
} from "./config_checks.ts";
import { findRoute } from "./config_document.ts";
import type { SoakRoute } from "./config_document.ts";
import type { ConfigMember } from "./config_fleet.ts";
import type { ConfigOrder } from "./config_operators.ts";

/** Observations of one soak test. */
export interface ConfigRecord {
  readonly orders: readonly ConfigOrder[];
  readonly calls: readonly ConfigCall[];
  readonly members: readonly ConfigMember[];
  /** Service of each backend server, by its address. */
  readonly services: ReadonlyMap<string, string>;
  /** Number of runs of each request id. */
  readonly runs: ReadonlyMap<string, number>;
}

/** The result of the checks of calls. */
export interface CallReport {
  readonly broken: readonly string[];
  /**
   * Calls at undisturbed nodes that were handled by an older configuration
   * `APPLY_MS` after the newer one, beside disturbed replicas.
   */
  readonly lateBesideFaults: number;
  /**
   * Longest time from an acknowledgement to a call at an undisturbed node that
   * was handled by an older configuration.
   */
  readonly maxLagMs: number;
}

/** Time after a disturbance from which the bounds hold again. */
const SETTLING_MS = 3_000;
/** Additional time for a change while replicas are disturbed. */
const MAX_SKEW_MS = 5_000;
/** Time from one answer until no older configuration may show. */
const ROLLBACK_SLACK_MS = 250;
const SLOW_ROLLBACK_SLACK_MS = 8 * ROLLBACK_SLACK_MS;
/** Time that an answer may come after a time limit. */
const TIMEOUT_SLACK_MS = 500;
/** Share of the time limit before which nothing may be said to exceed it. */
const EARLIEST_TIMEOUT_RATIO = 0.6;
/** Share of the idle limit for which callers may rely on a connection. */
const USABLE_IDLE_RATIO = 0.8;
const IDLE_SLACK_MS = 2_500;
const HEADER_SLACK_MS = 1_000;
/** Statuses by which a node tells nothing of its configuration. */
const NEUTRAL_STATUSES = new Set([408, 429, 431, 500, 502, 503]);

interface Candidate {
  readonly order: ConfigOrder;
  readonly sentAtMs: number;
}

/** Judges all calls in the order in which they ended. */
export function judgeCalls(record: ConfigRecord): CallReport {
  const judge = new CallJudge(record);
  const calls = record.calls.toSorted((a, b) => a.endedAtMs - b.endedAtMs);
  const broken = calls.flatMap((call) => {
    const faults = [judge.findConfigFault(call), judge.findRunFault(call)];
    return faults.filter((fault) => fault !== undefined)
      .map((fault) => `${fault}: ${formatCall(call)}`);
  });
  const { lateBesideFaults, maxLagMs } = judge;
  return { broken, lateBesideFaults, maxLagMs: Math.round(maxLagMs) };
}

class CallJudge {
  lateBesideFaults = 0;
  maxLagMs = 0;
  readonly #record: ConfigRecord;
  readonly #candidates: readonly Candidate[];
  /** What each process has shown, in the order of the answers. */
  readonly #floors = new Map<string, { atMs: number; version: number }[]>();

  constructor(record: ConfigRecord) {
    this.#record = record;
    this.#candidates = listPossibleOrders(record.orders).map((order) => ({
      order,
      sentAtMs: Math.min(...order.attempts.map(({ sentAtMs }) => sentAtMs)),
    }));
  }

  /** Returns how a call contradicts all configurations that may be in force. */
  findConfigFault(call: ConfigCall): string | undefined {
    const member = this.#getMember(call.node);
    const isCalm = isCalmDuring(member, call.sentAtMs - SETTLING_MS, call);
    const sent = this.#candidates
      .filter(({ sentAtMs }) => sentAtMs <= call.endedAtMs)
      .map(({ order }) => order);
    const matching = sent
      .filter((order) => this.#isHandledBy(call, order, isCalm));
    if (matching.length === 0) {
      return sent.length === 0 ? undefined : "no configuration explains it";
    }
    const newest = Math.max(...matching.map((o) => o.document.version));
    const floor = this.#getFloor(call, isCalm);
    if (newest < floor) {
      return `older than version ${floor}, which the process had shown`;
    }
    const late = isCalm ? this.#findLate(call, newest) : undefined;
    if (late === undefined) {
      const current = matching
        .filter(({ document }) => document.version >= floor);
      this.#raiseFloor(
        call,
        Math.min(...current.map((o) => o.document.version)),
      );
    }
    return late;
  }

  /** Returns what is wrong with the number of runs of a call. */
  findRunFault({ requestId, path, endedAtMs }: ConfigCall): string | undefined {
    const count = this.#record.runs.get(requestId) ?? 0;
    if (count < 2) {
      return undefined;
    }
    const limits = this.#candidates
      .filter(({ sentAtMs }) => sentAtMs <= endedAtMs)
      .map(({ order }) => findRoute(order.document, path))
      .filter((route) => route !== undefined)
      .map(({ type, attempts }) => type === "idempotent" ? attempts : 1);
    return count > Math.max(...limits)
      ? `run ${count} times, more than any configuration allows`
      : undefined;
  }

  /** Returns how a call at an undisturbed node was handled too late. */
  #findLate(call: ConfigCall, newest: number): string | undefined {
    const { orders, members } = this.#record;
    const handledAtMs = getHandlingMs(call);
    const replicas = members.filter(({ role }) => role === "replica");
    const isStable = replicas.every((replica) =>
      isCalmDuring(replica, call.sentAtMs - SETTLING_MS, call)
    );
    const outdating = orders.filter((order) =>
      order.document.version > newest &&
      findAcknowledgement(order) !== undefined
    );
    const lagMs = Math.max(
      0,
      ...outdating
        .map((order) => handledAtMs - findAcknowledgement(order)!.endedAtMs),
    );
    const allowedMs = isStable ? APPLY_MS : APPLY_MS + MAX_SKEW_MS;
    const isMajorityCalm = 2 *
        replicas.filter((replica) =>
          isCalmDuring(replica, call.sentAtMs - allowedMs - SETTLING_MS, call)
        ).length > replicas.length;
    if (isMajorityCalm) {
      this.maxLagMs = Math.max(this.maxLagMs, lagMs);
      this.lateBesideFaults += !isStable && lagMs > APPLY_MS ? 1 : 0;
    }
    return lagMs > allowedMs && isMajorityCalm
      ? `handled by an older configuration ${Math.round(lagMs)} ms after the ` +
        `acknowledgement of ${
          findAcknowledgedVersion(orders, handledAtMs - allowedMs)
        }, replicas ${isStable ? "calm" : "disturbed"}`
      : undefined;
  }

  #isHandledBy(call: ConfigCall, order: ConfigOrder, isCalm: boolean): boolean {
    const { limits } = order.document;
    const lastedMs = call.endedAtMs - call.sentAtMs;
    switch (call.kind) {
      case "idle":
        return !isCalm ||
          (call.end === "open"
            ? lastedMs <= limits.idleTimeoutMs + IDLE_SLACK_MS
            : lastedMs >= limits.idleTimeoutMs * USABLE_IDLE_RATIO);
      case "stopped head":
        return !isCalm ||
          lastedMs <= limits.headerTimeoutMs + HEADER_SLACK_MS;
      case "whole":
      case "stopped body": {
        const route = findRoute(order.document, call.path);
        return isInTime(call, route, isCalm) &&
          this.#isAnsweredBy(call, route, limits.maxBodyBytes);
      }
    }
  }

  #isAnsweredBy(
    call: ConfigCall,
    route: SoakRoute | undefined,
    maxBodyBytes: number,
  ): boolean {
    const { status, backend, bodyBytes } = call;
    if (status === undefined || NEUTRAL_STATUSES.has(status)) {
      return true;
    }
    if (route === undefined) {
      return status === 404 || (status === 413 && bodyBytes > maxBodyBytes);
    }
    if (status === 413) {
      return bodyBytes > maxBodyBytes;
    }
    if (status !== 200) {
      return status === 504;
    }
    const service = this.#record.services.get(backend ?? "");
    return bodyBytes <= maxBodyBytes &&
      route.targets.some((target) => target.service === service);
  }

  #getMember(name: string): ConfigMember {
    return this.#record.members.find((member) => member.name === name)!;
  }

  /** Newest version that the process had shown some time before a call. */
  #getFloor(call: ConfigCall, isCalm: boolean): number {
    const slackMs = isCalm ? ROLLBACK_SLACK_MS : SLOW_ROLLBACK_SLACK_MS;
    const shown = this.#floors.get(this.#getProcessKey(call)) ?? [];
    return shown.findLast(({ atMs }) => atMs <= call.sentAtMs - slackMs)
      ?.version ?? 0;
  }

  #raiseFloor(call: ConfigCall, version: number): void {
    const key = this.#getProcessKey(call);
    const shown = this.#floors.get(key) ?? [];
    this.#floors.set(key, shown);
    if (version > (shown.at(-1)?.version ?? 0)) {
      shown.push({ atMs: call.endedAtMs, version });
    }
  }

  /** Names the process that a call may have reached. */
  #getProcessKey({ node, sentAtMs }: ConfigCall): string {
    const { startedAtMs } = this.#getMember(node);
    return `${node} ${startedAtMs.filter((atMs) => atMs <= sentAtMs).length}`;
  }
}

/** Whether the route's time limit explains when a call ended. */
function isInTime(
  { kind, status, end, sentAtMs, completeAtMs, endedAtMs }: ConfigCall,
  route: SoakRoute | undefined,
  isCalm: boolean,
): boolean {
  if (!isCalm || route === undefined) {
    return !isCalm || end === "answered";
  }
  const startMs = kind === "whole" ? completeAtMs : sentAtMs;
  const isEarly = status === 504 &&
    endedAtMs - sentAtMs < route.timeoutMs * EARLIEST_TIMEOUT_RATIO;
  return end !== "open" && !isEarly &&
    endedAtMs - startMs <= route.timeoutMs + TIMEOUT_SLACK_MS;
}

/** Returns from when on the configuration in force decided on a call. */
function getHandlingMs({ kind, end, sentAtMs, endedAtMs }: ConfigCall): number {
  if (kind !== "idle") {
    return sentAtMs;
  }
  return end === "open" ? endedAtMs - IDLE_SLACK_MS : endedAtMs;
}

/** Whether a process had no fault from a time until the end of a call. */
function isCalmDuring(
  { disturbances }: ConfigMember,
  fromMs: number,
  call: { readonly endedAtMs: number },
): boolean {
  return disturbances
    .every(({ startMs, endMs }) => endMs < fromMs || startMs > call.endedAtMs);
}

function formatCall(call: ConfigCall): string {
  const { kind, requestId, node, path, bodyBytes, sentAtMs, endedAtMs } = call;
  return `${kind} ${requestId} ${path} with ${bodyBytes} bytes at ${node}, ` +
    `${call.end} ${call.status ?? "no status"} by ${call.backend ?? "none"}, ` +
    `${Math.round(sentAtMs)} to ${Math.round(endedAtMs)} ms`;
}
