/** The admission level: below it, root requests are refused early. */
import { parseDictionary, serializeDictionary } from "structured-headers";
import { hashText } from "../../../base/common/hash.ts";

/** A root request below `(importance, hash)` is refused; hash 32-bit. */
export interface AdmissionLevel {
  readonly importance: number;
  readonly hash: number;
}

/** What places a request above or below a level. */
export interface AdmissionPriority {
  /** 0 to 9. */
  readonly importance: number;
  readonly admissionHash: number;
}

/** Importances run from 0 to this. */
export const MAX_IMPORTANCE = 9;
/** The hashes of root requests are drawn anew at this period. */
export const HASH_PERIOD_MS = 10_000;
const HASH_RANGE = 2 ** 32;
const MAX_HEADER_LENGTH = 64;

/** What the hash of a root request is drawn from. */
export interface HashInputs {
  /** Names the caller, or else the root request. */
  readonly key: string;
  /** Weight of its kind over the greatest of its importance; at most 1. */
  readonly share: number;
  readonly nowMs: number;
}

/**
 * Computes the hash that orders root requests of one importance. The period
 * salts it, so that no caller is shed for ever. The kinds that go on at one
 * level are so in the ratio of their weights: `u ** (1 / weight)` of weighted
 * sampling (Efraimidis and Spirakis, 2006).
 */
export function computeAdmissionHash(inputs: HashInputs): number {
  const { key, share, nowMs } = inputs;
  const drawn = hashText(key, Math.floor(nowMs / HASH_PERIOD_MS) >>> 0);
  return Math.floor((drawn / HASH_RANGE) ** (1 / share) * HASH_RANGE);
}

/** Whether a request is below the level. */
export function isBelowLevel(
  request: AdmissionPriority,
  level: AdmissionLevel,
): boolean {
  return request.importance < level.importance ||
    (request.importance === level.importance &&
      request.admissionHash < level.hash);
}

/** Picks the level that refuses more; undefined refuses nothing. */
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

/** Creates a level from its place on the scale from 0 to 10. */
export function createLevel(place: number): AdmissionLevel | undefined {
  if (place <= 0) {
    return undefined;
  }
  const importance = Math.min(MAX_IMPORTANCE, Math.floor(place));
  const hash = Math.floor((place - importance) * HASH_RANGE);
  return { importance, hash: Math.min(HASH_RANGE - 1, hash) };
}

/** Writes a level as an RFC 9651 dictionary. */
export function encodeLevel(level: AdmissionLevel): string {
  return serializeDictionary({ i: level.importance, h: level.hash });
}

/** Reads a level; undefined where there is none or it is malformed. */
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
