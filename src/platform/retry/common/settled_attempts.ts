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
  readonly open: SettledBlock;
  /** Full blocks, oldest first. */
  readonly closed: readonly SettledBlock[];
  /** When each fenced attempt was fenced, oldest first. */
  readonly fences: ReadonlyMap<string, number>;
  /** Every attempt that was forgotten had settled by then. */
  readonly forgottenMs: number;
}

/** Attempts in one block: the part that is copied at each step. */
export const BLOCK_SIZE = 128;
/** Full blocks that are kept. */
export const MAX_BLOCKS = 63;
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
  const inOpen = settled.open.attempts.get(attemptId);
  if (inOpen !== undefined) {
    return inOpen;
  }
  return settled.closed.find((block) => block.attempts.has(attemptId))
    ?.attempts.get(attemptId);
}

/** Remembers an attempt that ended; the oldest block is forgotten first. */
export function rememberSettled(
  settled: SettledAttempts,
  attempt: { readonly attemptId: string; readonly as: "ended" | "refused" },
  nowMs: number,
): SettledAttempts {
  const { attemptId, as } = attempt;
  const open: SettledBlock = {
    attempts: setEntry(settled.open.attempts, attemptId, as),
    lastMs: nowMs,
  };
  return open.attempts.size < BLOCK_SIZE
    ? { ...settled, open }
    : closeBlock(settled, open);
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
