/** The request context that travels with every call, and its headers. */
import { parseDictionary, serializeDictionary } from "structured-headers";
import { err, ok, type Result } from "neverthrow";

/** Carries a `CallContext`; backend servers copy it onto their own calls. */
export const CONTEXT_HEADER = "basilpin-context";
/** Says on an answer what became of the attempt: a `CallOutcome`. */
export const OUTCOME_HEADER = "basilpin-outcome";
/** Says on an answer the admission level of the node that gave it. */
export const LEVEL_HEADER = "basilpin-level";
/** Gives unused retry tokens back to the caller's node. */
export const TOKENS_HEADER = "basilpin-tokens";
/** Says on an answer that the node takes no new work. */
export const DRAINING_HEADER = "basilpin-draining";
/** Says on an answer the load hint of its backend server, whole per cent. */
export const LOAD_HEADER = "basilpin-load";
/** Every header of the system begins with this. */
export const HEADER_PREFIX = "basilpin-";

/** What became of an attempt, as far as it can be proved. */
export type CallOutcome = "ran" | "not-run" | "unknown";

/** What a call knows of the root request that it belongs to. */
export interface CallContext {
  /** The root request, the same through its whole call tree. */
  readonly rootId: string;
  /** This one attempt; never used again. */
  readonly attemptId: string;
  /** Importance of the root request, 0 to 9. */
  readonly importance: number;
  /** Orders root requests of one importance; unsigned 32-bit. */
  readonly admissionHash: number;
  /** Hops from the root request, 0 at the edge. */
  readonly depth: number;
  /** Time that is left, in milliseconds. */
  readonly remainingMs: number;
  /** Retries that this call's subtree may spend. */
  readonly retryTokens: number;
  /** Whether it repeats a run, or a run that repeats one made the call. */
  readonly isRepeat?: boolean;
}

/** A context header that can't be read. */
export interface MalformedContext {
  readonly type: "MalformedContext";
  readonly reason: string;
}

/** Deepest call tree that is served. */
export const MAX_DEPTH = 64;
const MAX_HEADER_LENGTH = 512;
const ID = /^[A-Za-z0-9._:-]{1,96}$/;

/** Writes a context as an RFC 9651 dictionary. */
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

/** Reads a context; every member but `repeat` must be there and in range. */
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
