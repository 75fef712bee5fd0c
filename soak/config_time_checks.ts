/**
 * Checks of a soak test of configurations: whether the time limits in force
 * hold, of routes, heads and idle connections.
 */
import type { CallKind, ConfigCall } from "./config_callers.ts";
import { findRoute } from "./config_document.ts";
import type { SoakDocument } from "./config_document.ts";
import type { ConfigHistory, Interval } from "./config_history.ts";

/** Time that an answer may come after the time limit of its route. */
const ANSWER_SLACK_MS = 500;
const HEAD_SLACK_MS = 1_000;
const IDLE_SLACK_MS = 2_000;
/** Share of the idle limit for which callers may rely on a connection. */
const USABLE_IDLE_RATIO = 0.8;
/**
 * Late ends break a limit if there are as many, and more than this share of all
 * that reached the limit.
 */
const MIN_LATE_ENDS = 4;
const MAX_LATE_RATIO = 0.25;

/** When a call that reached its time limit ended. */
interface LimitedEnd {
  readonly call: ConfigCall;
  readonly limitMs: number;
  readonly isLate: boolean;
}

/** Lists the limits that did not hold at undisturbed nodes. */
export function listTimeViolations(
  history: ConfigHistory,
  calls: readonly ConfigCall[],
): readonly string[] {
  const kinds: readonly CallKind[] = [
    "whole",
    "stopped body",
    "stopped head",
    "idle",
  ];
  return kinds.flatMap((kind) => {
    const ends = calls.filter((call) => call.kind === kind)
      .flatMap((call) => createEnd(history, call));
    const late = ends.filter(({ isLate }) => isLate);
    const isBroken = late.length >= MIN_LATE_ENDS &&
      late.length > MAX_LATE_RATIO * ends.length;
    const early = calls.filter((call) => isClosedEarly(history, call));
    return [
      ...isBroken
        ? [
          `${late.length} of ${ends.length} with a ${kind} ended late: ` +
          late.slice(0, 3).map(formatEnd).join("; "),
        ]
        : [],
      ...kind === "idle"
        ? early.map((call) =>
          `closed before its idle limit, ${formatTimes(call)}`
        )
        : [],
    ];
  });
}

function createEnd(
  history: ConfigHistory,
  call: ConfigCall,
): readonly LimitedEnd[] {
  const startMs = call.kind === "whole" ? call.completeAtMs : call.sentAtMs;
  const lastedMs = call.endedAtMs - startMs;
  const interval = { fromMs: startMs, toMs: call.endedAtMs };
  if (!history.isNodeCalm(call.node, interval)) {
    return [];
  }
  const limits = history.listAllowed(getDecisionTime(call))
    .map((document) => getLimitMs(call, document))
    .filter((limitMs) => limitMs !== undefined);
  const limitMs = Math.max(...limits);
  const slackMs = call.kind === "idle"
    ? IDLE_SLACK_MS
    : call.kind === "stopped head"
    ? HEAD_SLACK_MS
    : ANSWER_SLACK_MS;
  // One that was closed late was perhaps closed by a limit lowered meanwhile.
  const isOver = call.kind !== "idle" || call.end === "open";
  return lastedMs < limitMs || limits.length === 0
    ? []
    : [{ call, limitMs, isLate: isOver && lastedMs > limitMs + slackMs }];
}

function isClosedEarly(history: ConfigHistory, call: ConfigCall): boolean {
  const { kind, end, node, sentAtMs, endedAtMs } = call;
  const interval = { fromMs: sentAtMs, toMs: endedAtMs };
  if (
    kind !== "idle" || end !== "closed" || !history.isNodeCalm(node, interval)
  ) {
    return false;
  }
  const limits = history.listAllowed({ fromMs: endedAtMs, toMs: endedAtMs })
    .map(({ limits }) => limits.idleTimeoutMs);
  return endedAtMs - sentAtMs < USABLE_IDLE_RATIO * Math.min(...limits);
}

/** Returns when the configuration in force decided on the limit of a call. */
function getDecisionTime({ kind, sentAtMs, endedAtMs }: ConfigCall): Interval {
  const fromMs = kind === "idle" ? endedAtMs - IDLE_SLACK_MS : sentAtMs;
  return { fromMs, toMs: endedAtMs };
}

/** Returns the limit of a call; undefined if its path has no route. */
function getLimitMs(
  { kind, path }: ConfigCall,
  document: SoakDocument,
): number | undefined {
  switch (kind) {
    case "idle":
      return document.limits.idleTimeoutMs;
    case "stopped head":
      return document.limits.headerTimeoutMs;
    case "whole":
    case "stopped body":
      return findRoute(document, path)?.timeoutMs;
  }
}

function formatEnd({ call, limitMs }: LimitedEnd): string {
  return `limit of ${limitMs} ms, ${formatTimes(call)}`;
}

function formatTimes(
  { requestId, path, node, status, end, sentAtMs, endedAtMs }: ConfigCall,
): string {
  return `${requestId} ${path} at ${node} ${end} ${status ?? ""} ` +
    `${Math.round(sentAtMs)} to ${Math.round(endedAtMs)} ms`;
}
