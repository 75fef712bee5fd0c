/** The request context that every call carries, and the headers of a call. */
import { parseDictionary, serializeDictionary } from "structured-headers";
import { err, ok, type Result } from "neverthrow";

/** Carries a `CallContext`; backend servers copy it to the calls they make. */
export const CONTEXT_HEADER = "basilpin-context";
/** On an answer: the attempt's `CallOutcome`. */
export const OUTCOME_HEADER = "basilpin-outcome";
/** On an answer: admission level of the node that sent it. */
export const LEVEL_HEADER = "basilpin-level";
/** On an answer: unused retry tokens, returned to the calling node. */
export const TOKENS_HEADER = "basilpin-tokens";
/** On an answer: the node is draining and accepts no new work. */
export const DRAINING_HEADER = "basilpin-draining";
/** On an answer: load hint of the node's backend server, in whole per cent. */
export const LOAD_HEADER = "basilpin-load";
/** Prefix of every header that nodes add. */
export const HEADER_PREFIX = "basilpin-";

/**
 * Whether an attempt was executed: `ran` and `not-run` are proved, else it is
 * `unknown`.
 */
export type CallOutcome = "ran" | "not-run" | "unknown";

/**
 * Identifies a call within its root request, the request from outside that the
 * whole call tree serves.
 */
export interface CallContext {
  /** Id of the root request; the same in its whole call tree. */
  readonly rootId: string;
  /** Id of this attempt; never reused. */
  readonly attemptId: string;
  /** Importance of the root request, 0 to 9. */
  readonly importance: number;
  /** Orders root requests of equal importance; unsigned 32-bit integer. */
  readonly admissionHash: number;
  /** Hops from the root request, 0 at the edge. */
  readonly depth: number;
  /** Time until the deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Retries that this call and the calls below it may spend. */
  readonly retryTokens: number;
  /** Whether it repeats an execution, or an attempt that does made the call. */
  readonly isRepeat?: boolean;
}

/** Rejection of a context header. */
export interface MalformedContext {
  readonly type: "MalformedContext";
  readonly reason: string;
}

/** Deepest call that is accepted, in hops from the root request. */
export const MAX_DEPTH = 64;
/** In characters. */
const MAX_HEADER_LENGTH = 512;
const ID = /^[A-Za-z0-9._:-]{1,96}$/;

/** Encodes a context as an RFC 9651 dictionary. */
export function encodeContext(context: CallContext): string {
  return serializeDictionary({
    root: context.rootId,
    attempt: context.attemptId,
    importance: context.importance,
    hash: context.admissionHash,
    depth: context.depth,
    remaining: Math.max(0, Math.floor(context.remainingMs)),
    tokens: context.retryTokens,
    ...(context.isRepeat === true ? { repeat: true } : {}),
  });
}

/** Decodes a context; all members but `repeat` are required and checked. */
export function decodeContext(
  text: string,
): Result<CallContext, MalformedContext> {
  if (text.length > MAX_HEADER_LENGTH) {
    return err(createMalformed("Header is too long"));
  }
  try {
    const members = parseDictionary(text);
    return ok({
      rootId: readId(members.get("root")?.[0], "root"),
      attemptId: readId(members.get("attempt")?.[0], "attempt"),
      importance: readInteger(members.get("importance")?.[0], 9),
      admissionHash: readInteger(members.get("hash")?.[0], 0xffffffff),
      depth: readInteger(members.get("depth")?.[0], MAX_DEPTH),
      remainingMs: readInteger(members.get("remaining")?.[0], 3_600_000),
      retryTokens: readInteger(members.get("tokens")?.[0], 1_000),
      ...(members.get("repeat")?.[0] === true ? { isRepeat: true } : {}),
    });
  } catch (error) {
    return err(createMalformed((error as Error).message));
  }
}

function readId(value: unknown, name: string): string {
  if (typeof value !== "string" || !ID.test(value)) {
    throw new Error(`Member ${name} is not an id`);
  }
  return value;
}

function readInteger(value: unknown, max: number): number {
  const isInRange = typeof value === "number" && Number.isInteger(value) &&
    value >= 0 && value <= max;
  if (!isInRange) {
    throw new Error(`Expected a whole number from 0 to ${max}`);
  }
  return value;
}

function createMalformed(reason: string): MalformedContext {
  return { type: "MalformedContext", reason };
}
