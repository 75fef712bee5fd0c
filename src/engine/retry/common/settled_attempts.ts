/**
 * Attempts that are settled at this node: they ended, were refused, or were
 * fenced. A fence blocks an attempt that has not arrived, so that it can be
 * reported as not run.
 */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";

/** How an attempt was settled at the node that it was sent to. */
export type SettledAs =
  /** It ended; the backend server may have run it. */
  | "ended"
  /** It was refused before any byte was sent to the backend server. */
  | "refused"
  /** Its sender abandoned it before it arrived. */
  | "fenced";

/** A group of attempts that are evicted together. */
interface SettledBlock {
  /** By attempt id. */
  readonly attempts: ReadonlyMap<string, "ended" | "refused">;
  /** When the last attempt of the block was settled, in milliseconds. */
  readonly lastMs: number;
}

/** A bounded record of settled attempts, and how far back it is complete. */
export interface SettledAttempts {
  /** The newest attempts, at most `RECENT_SIZE`; copied in each step. */
  readonly recent: SettledBlock;
  /** The block that `recent` is merged into once it is full. */
  readonly open: SettledBlock;
  /** Full blocks, oldest first. */
  readonly closed: readonly SettledBlock[];
  /** Times of the fences in milliseconds by attempt id, oldest first. */
  readonly fences: ReadonlyMap<string, number>;
  /** All evicted attempts were settled at or before this time, in ms. */
  readonly forgottenMs: number;
}

/** Number of attempts at which `recent` is merged into the open block. */
const RECENT_SIZE = 32;
/** Attempts in one block; a multiple of `RECENT_SIZE`. */
export const BLOCK_SIZE = 512;
/** Maximum number of full blocks retained; a lookup searches each of them. */
export const MAX_BLOCKS = 15;
/** Maximum number of fences; while it is reached, no attempt is fenced. */
export const MAX_FENCES = 4_096;
/**
 * Lifetime of a fence. It is longer than TCP retransmits written data (about
 * 924 s with the 15 retransmissions of Linux), so that a fenced attempt cannot
 * arrive after its fence has expired.
 */
export const FENCE_HELD_MS = 1_000_000;
/** Timeout of a query for the state of an attempt at another node. */
export const ASK_TIMEOUT_MS = 1_000;

/** State before any attempt. */
export const NO_SETTLED: SettledAttempts = {
  recent: { attempts: new Map(), lastMs: 0 },
  open: { attempts: new Map(), lastMs: 0 },
  closed: [],
  fences: new Map(),
  forgottenMs: 0,
};

/** Returns how an attempt was settled, or undefined if it is not on record. */
export function findSettled(
  settled: SettledAttempts,
  attemptId: string,
): SettledAs | undefined {
  if (settled.fences.has(attemptId)) {
    return "fenced";
  }
  const settledAs = settled.recent.attempts.get(attemptId) ??
    settled.open.attempts.get(attemptId);
  if (settledAs !== undefined) {
    return settledAs;
  }
  for (const block of settled.closed) {
    const settledInBlock = block.attempts.get(attemptId);
    if (settledInBlock !== undefined) {
      return settledInBlock;
    }
  }
  return undefined;
}

/** Records an attempt that ended or was refused; may evict the oldest block. */
export function rememberSettled(
  settled: SettledAttempts,
  attempt: { readonly attemptId: string; readonly as: "ended" | "refused" },
  nowMs: number,
): SettledAttempts {
  const { attemptId, as } = attempt;
  const attempts = setEntry(settled.recent.attempts, attemptId, as);
  const recent: SettledBlock = { attempts, lastMs: nowMs };
  return attempts.size < RECENT_SIZE
    ? { ...settled, recent }
    : mergeRecent(settled, recent);
}

/**
 * Fences an attempt that is not on record, or returns undefined if the attempt
 * may have been settled and evicted. `ageMs` is the time between sending the
 * attempt and sending the query. The query took at most `ASK_TIMEOUT_MS`, so
 * the attempt was sent after `nowMs - ageMs - ASK_TIMEOUT_MS`. If that is after
 * `forgottenMs`, the attempt cannot be among the evicted ones.
 */
export function fenceSettled(
  settled: SettledAttempts,
  attempt: { readonly attemptId: string; readonly ageMs: number },
  nowMs: number,
): SettledAttempts | undefined {
  const sentAfterMs = nowMs - attempt.ageMs - ASK_TIMEOUT_MS;
  const fences = expireFences(settled.fences, nowMs);
  const isReliable = sentAfterMs > settled.forgottenMs &&
    fences.size < MAX_FENCES;
  return isReliable
    ? { ...settled, fences: setEntry(fences, attempt.attemptId, nowMs) }
    : undefined;
}

function mergeRecent(
  settled: SettledAttempts,
  recent: SettledBlock,
): SettledAttempts {
  const { lastMs } = recent;
  const attempts = new Map([...settled.open.attempts, ...recent.attempts]);
  const open: SettledBlock = { attempts, lastMs };
  const next = { ...settled, recent: { attempts: new Map(), lastMs }, open };
  return attempts.size < BLOCK_SIZE ? next : closeBlock(next, open);
}

function closeBlock(
  settled: SettledAttempts,
  block: SettledBlock,
): SettledAttempts {
  const closed = [...settled.closed, block];
  const open: SettledBlock = { attempts: new Map(), lastMs: block.lastMs };
  if (closed.length <= MAX_BLOCKS) {
    return { ...settled, open, closed };
  }
  const [oldest, ...retained] = closed;
  return { ...settled, open, closed: retained, forgottenMs: oldest!.lastMs };
}

function expireFences(
  fences: SettledAttempts["fences"],
  nowMs: number,
): SettledAttempts["fences"] {
  let retained = fences;
  for (const [attemptId, fencedMs] of fences) {
    if (nowMs - fencedMs <= FENCE_HELD_MS) {
      break;
    }
    retained = deleteEntry(retained, attemptId);
  }
  return retained;
}
