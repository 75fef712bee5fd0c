/**
 * The admission level of an overloaded backend server: entry nodes refuse root
 * requests of lower priority before any work is done for them.
 */
import { parseDictionary, serializeDictionary } from "structured-headers";
import { hashText } from "../../../base/common/hash.ts";

/** Root requests with a priority below `(importance, hash)` are refused. */
export interface AdmissionLevel {
  /** 0 to `MAX_IMPORTANCE`. */
  readonly importance: number;
  /** Unsigned 32-bit. */
  readonly hash: number;
}

/** Priority of a request, compared with the admission level. */
export interface AdmissionPriority {
  /** 0 to `MAX_IMPORTANCE`; higher is more important. */
  readonly importance: number;
  /** Unsigned 32-bit; orders requests of one importance, higher first. */
  readonly admissionHash: number;
}

/** Highest importance; the lowest one is 0. */
export const MAX_IMPORTANCE = 9;
/** Period after which the admission hashes of root requests change. */
export const HASH_PERIOD_MS = 10_000;
const HASH_RANGE = 2 ** 32;
const MAX_HEADER_LENGTH = 64;

/** Inputs of the admission hash of a root request. */
export interface HashInputs {
  /** Id of the caller, or of the root request if the caller has none. */
  readonly key: string;
  /** Ratio of the kind's weight to the highest weight of its importance. */
  readonly share: number;
  /** Steady clock in milliseconds. */
  readonly nowMs: number;
}

/**
 * Computes the hash that orders root requests of one importance. It is salted
 * with the current period, so that no caller is shed permanently. At any
 * level, the kinds are admitted in the ratio of their weights: the hash is the
 * key `u ** (1 / weight)` of weighted sampling (Efraimidis and Spirakis, 2006).
 */
export function computeAdmissionHash(inputs: HashInputs): number {
  const { key, share, nowMs } = inputs;
  const uniform = hashText(key, Math.floor(nowMs / HASH_PERIOD_MS) >>> 0);
  return Math.floor((uniform / HASH_RANGE) ** (1 / share) * HASH_RANGE);
}

/** Whether the priority of a request is below the level. */
export function isBelowLevel(
  request: AdmissionPriority,
  level: AdmissionLevel,
): boolean {
  return request.importance < level.importance ||
    (request.importance === level.importance &&
      request.admissionHash < level.hash);
}

/** Picks the level that refuses more requests; undefined refuses none. */
export function pickHigherLevel(
  a: AdmissionLevel | undefined,
  b: AdmissionLevel | undefined,
): AdmissionLevel | undefined {
  if (a === undefined || b === undefined) {
    return a ?? b;
  }
  const order = a.importance - b.importance || a.hash - b.hash;
  return order >= 0 ? a : b;
}

/**
 * Creates the level at a position from 0 (none, undefined) to 10: importance
 * in the integer part, share of the hash range in the fraction.
 */
export function createLevel(position: number): AdmissionLevel | undefined {
  if (position <= 0) {
    return undefined;
  }
  const importance = Math.min(MAX_IMPORTANCE, Math.floor(position));
  const hash = Math.floor((position - importance) * HASH_RANGE);
  return { importance, hash: Math.min(HASH_RANGE - 1, hash) };
}

/** Encodes a level as an RFC 9651 dictionary. */
export function encodeLevel(level: AdmissionLevel): string {
  return serializeDictionary({ i: level.importance, h: level.hash });
}

/** Decodes a level; returns undefined if the text is empty or malformed. */
export function decodeLevel(text: string): AdmissionLevel | undefined {
  if (text === "" || text.length > MAX_HEADER_LENGTH) {
    return undefined;
  }
  try {
    const members = parseDictionary(text);
    const importance = readInteger(members.get("i")?.[0], MAX_IMPORTANCE);
    const hash = readInteger(members.get("h")?.[0], HASH_RANGE - 1);
    return importance === undefined || hash === undefined
      ? undefined
      : { importance, hash };
  } catch {
    return undefined;
  }
}

function readInteger(value: unknown, max: number): number | undefined {
  return typeof value === "number" && Number.isInteger(value) && value >= 0 &&
      value <= max
    ? value
    : undefined;
}
