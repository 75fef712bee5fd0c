/** Which attempts ended here, were refused or fenced: what may be said of them. */
import { deleteEntry, setEntry } from "../../../base/common/maps.ts";

/** How an attempt ended at the node that received it. */
export type SettledAs =
  /** The backend server may have run it. */
  | "ended"
  /** Refused before the backend server saw a byte. */
  | "refused"
  /** Given up by its sender before it arrived. */
  | "fenced";

interface SettledBlock {
  readonly attempts: ReadonlyMap<string, "ended" | "refused">;
  /** When its last attempt settled, in milliseconds. */
  readonly lastMs: number;
}

/** A bounded memory of attempts that knows how far back it reaches. */
export interface SettledAttempts {
  /** The newest, a few: only these are copied at each step. */
  readonly recent: SettledBlock;
  /** Grows by all of `recent` at a time. */
  readonly open: SettledBlock;
  /** Full blocks, oldest first. */
  readonly closed: readonly SettledBlock[];
  /** When each fenced attempt was fenced, oldest first. */
  readonly fences: ReadonlyMap<string, number>;
  /** Every attempt that was forgotten had settled by then. */
  readonly forgottenMs: number;
}

/** Attempts that are held apart from the open block. */
const RECENT_SIZE = 32;
/** Attempts in one block; a multiple of `RECENT_SIZE`. */
export const BLOCK_SIZE = 512;
/** Full blocks that are kept; each is looked through for a repeat. */
export const MAX_BLOCKS = 15;
/** Fences held at a time; beyond that no attempt is fenced. */
export const MAX_FENCES = 4_096;
/**
 * How long a fence is held. Longer than TCP goes on sending what was written
 * (about 924 s with Linux's 15 retransmissions), so that a fenced attempt
 * can't arrive after its fence is gone.
 */
export const FENCE_HELD_MS = 1_000_000;
/** Longest wait for the answer to a question about an attempt. */
export const ASK_TIMEOUT_MS = 1_000;

/** Nothing has settled yet. */
export const NO_SETTLED: SettledAttempts = {
  recent: { attempts: new Map(), lastMs: 0 },
  open: { attempts: new Map(), lastMs: 0 },
  closed: [],
  fences: new Map(),
  forgottenMs: 0,
};

/** Finds how an attempt settled; undefined where it is not remembered. */
export function findSettled(
  settled: SettledAttempts,
  attemptId: string,
): SettledAs | undefined {
  if (settled.fences.has(attemptId)) {
    return "fenced";
  }
  const found = settled.recent.attempts.get(attemptId) ??
    settled.open.attempts.get(attemptId);
  if (found !== undefined) {
    return found;
  }
  for (const block of settled.closed) {
    const as = block.attempts.get(attemptId);
    if (as !== undefined) {
      return as;
    }
  }
  return undefined;
}

/** Remembers an attempt that ended; the oldest block is forgotten first. */
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
 * Fences an attempt that is not remembered, or returns undefined where that
 * proves nothing. `ageMs` is the time since it was sent when the question
 * left. The question took at most `ASK_TIMEOUT_MS`, so the attempt was sent
 * after `nowMs - ageMs - ASK_TIMEOUT_MS`; had it ended here and been
 * forgotten, it would have settled by `forgottenMs`.
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
  full: SettledBlock,
): SettledAttempts {
  const closed = [...settled.closed, full];
  const open: SettledBlock = { attempts: new Map(), lastMs: full.lastMs };
  if (closed.length <= MAX_BLOCKS) {
    return { ...settled, open, closed };
  }
  const [oldest, ...kept] = closed;
  return { ...settled, open, closed: kept, forgottenMs: oldest!.lastMs };
}

function expireFences(
  fences: SettledAttempts["fences"],
  nowMs: number,
): SettledAttempts["fences"] {
  let kept = fences;
  for (const [attemptId, fencedMs] of fences) {
    if (nowMs - fencedMs <= FENCE_HELD_MS) {
      break;
    }
    kept = deleteEntry(kept, attemptId);
  }
  return kept;
}
