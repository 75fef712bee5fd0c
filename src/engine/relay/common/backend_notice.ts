/**
 * What a backend server says of itself in its answers: how many requests a
 * second it takes from all nodes together, and that it leaves. Each holds for
 * one process instance.
 */
import type { BackendNotice } from "../../mesh/common/frames.ts";

/** The limit on the request rate that the head of one answer names. */
export type NamedLimit =
  | { readonly type: "Named"; readonly requestsPerSecond: number }
  | { readonly type: "None" }
  /** `text` is not a decimal number; the answer says nothing about the limit. */
  | { readonly type: "Unreadable"; readonly text: string };

/** What the head of one answer says about its backend server. */
export interface BackendStatement {
  readonly limit: NamedLimit;
  readonly isLeaving: boolean;
}

/** The statement of every answer that says nothing. */
export const EMPTY_STATEMENT: BackendStatement = {
  limit: { type: "None" },
  isLeaving: false,
};

/** A statement and the exchange that it was received in. */
export interface ReceivedStatement extends BackendStatement {
  readonly instance: string;
  /** When the request was handed over to the backend server. */
  readonly handedOverAtMs: number;
  readonly receivedAtMs: number;
}

/**
 * Applies a statement of the instance that `current` is about, or of the first
 * one that says anything; undefined if nothing was ever said.
 *
 * Answers may be read in another order than they were written. A lower limit
 * therefore holds at once, while a higher one, or none, needs a request that was
 * handed over after the current limit was last said.
 */
export function applyStatement(
  current: BackendNotice | undefined,
  statement: ReceivedStatement,
): BackendNotice | undefined {
  const { instance, limit, receivedAtMs, handedOverAtMs } = statement;
  const isLeaving = statement.isLeaving || (current?.isLeaving ?? false);
  const named = limit.type === "Named" ? limit.requestsPerSecond : undefined;
  if (current === undefined) {
    return named === undefined && !isLeaving ? undefined : {
      instance,
      requestsPerSecond: named,
      isLeaving,
      saidAtMs: receivedAtMs,
    };
  }
  const { requestsPerSecond } = current;
  const isRaise = (named ?? Infinity) > (requestsPerSecond ?? Infinity);
  if (
    limit.type === "Unreadable" || isRaise && handedOverAtMs <= current.saidAtMs
  ) {
    return { ...current, isLeaving };
  }
  return {
    instance,
    requestsPerSecond: named,
    isLeaving,
    saidAtMs: receivedAtMs,
  };
}

/**
 * Merges two notices about the same instance: the limit of the later one, and
 * the leave of either.
 */
export function mergeNotices(
  current: BackendNotice | undefined,
  told: BackendNotice,
): BackendNotice {
  if (current === undefined) {
    return told;
  }
  const newer = told.saidAtMs > current.saidAtMs ? told : current;
  return { ...newer, isLeaving: current.isLeaving || told.isLeaving };
}

/** What changed between two notices about an instance. */
export type NoticeChange =
  | "limit named"
  | "limit changed"
  | "limit lifted"
  | "leaving"
  /** Another process instance has replaced the one that said something. */
  | "forgotten";

/** Lists what changed; empty if nothing but the time has. */
export function listNoticeChanges(
  before: BackendNotice | undefined,
  after: BackendNotice | undefined,
): readonly NoticeChange[] {
  if (before !== undefined && before.instance !== after?.instance) {
    const isForgotten = before.requestsPerSecond !== undefined ||
      before.isLeaving;
    return [
      ...(isForgotten ? ["forgotten" as const] : []),
      ...listNoticeChanges(undefined, after),
    ];
  }
  const changes: NoticeChange[] = [];
  const previous = before?.requestsPerSecond;
  const next = after?.requestsPerSecond;
  if (previous !== next) {
    changes.push(
      previous === undefined
        ? "limit named"
        : next === undefined
        ? "limit lifted"
        : "limit changed",
    );
  }
  if ((after?.isLeaving ?? false) && !(before?.isLeaving ?? false)) {
    changes.push("leaving");
  }
  return changes;
}
