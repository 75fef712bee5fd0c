/**
 * Refuses root requests at their entry where a service on their way is short
 * of room: work that would fail midway is not begun. Least urgent first.
 */
import { hashBytes, hashText } from "../../../base/common/hash.ts";

/** Most of a rank that is refused before the next more urgent one is. */
const MAX_SHARE = 0.85;
/**
 * Each rank is let in this often at least, as a part of how often all are: no
 * kind of request is starved, though part of what is begun fails midway.
 */
const LEAST_PART = 0.4;
/** After so long a request counts half for how often all are let in. */
const HALF_LIFE_MS = 5_000;
/**
 * For so long the same request meets the same answer while the pressure is the
 * same: a client that repeats at once can't get in by trying often.
 */
const DRAW_PERIOD_MS = 8_000;
/** Bytes of a body that tell it from others; hashing all would cost more. */
const HASHED_BYTES = 1_024;
const HASH_RANGE = 0x1_0000_0000;
/** Part of the pressure in which only the least urgent rank is refused. */
const LAST_RANK_PART = 0.7;

/** What is asked for one root request. */
export interface RootRequest {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** The least urgent rank of the table. */
  readonly lastRank: number;
  /** Of the narrowest service on its way, 0 to 1. */
  readonly pressure: number;
  /** How often all requests were let in here lately, 0 to 1. */
  readonly admittedShare: number;
  /** From 0 to 1; the same for repeats of a request. */
  readonly draw: number;
}

/** Whether a root request is refused. */
export function isRootRefused(request: RootRequest): boolean {
  return request.draw < computeRefusedShare(request);
}

/**
 * The least urgent rank bears the larger part of the pressure, so that its
 * swings don't reach the others; these share the rest, one after the other.
 */
export function computeRefusedShare(
  { rank, lastRank, pressure, admittedShare }: Omit<RootRequest, "draw">,
): number {
  const others = lastRank;
  const last = others === 0 ? 1 : LAST_RANK_PART;
  const band = rank >= lastRank ? last : (1 - last) / others;
  const start = rank >= lastRank ? 0 : last + band * (lastRank - rank - 1);
  const part = (pressure - start) / band;
  const share = Math.max(0, Math.min(1, part)) * MAX_SHARE;
  return Math.min(share, 1 - LEAST_PART * admittedShare);
}

/** Follows how often requests of any rank are let in at one node. */
export class AdmittedShare {
  #asked = 0;
  #admitted = 0;
  #notedAtMs = 0;

  /** 1 before the first request. */
  get value(): number {
    return this.#asked === 0 ? 1 : this.#admitted / this.#asked;
  }

  /** Counts a request. */
  record(isAdmitted: boolean, nowMs: number): void {
    const kept = 0.5 ** ((nowMs - this.#notedAtMs) / HALF_LIFE_MS);
    this.#asked = this.#asked * kept + 1;
    this.#admitted = this.#admitted * kept + (isAdmitted ? 1 : 0);
    this.#notedAtMs = nowMs;
  }
}

/**
 * Draws a number from 0 to 1 for a request by what it asks for, not by its id:
 * each repeat has a new one. Periods of requests end at different times.
 */
export function drawForRequest(
  request: {
    readonly route: string;
    readonly target: string;
    readonly body: Uint8Array;
  },
  nowMs: number,
): number {
  const { route, target, body } = request;
  const content = `${body.length} ${hashBytes(body.subarray(0, HASHED_BYTES))}`;
  const phase = hashText(`${route} ${target} ${content}`) / HASH_RANGE;
  const period = Math.floor(nowMs / DRAW_PERIOD_MS + phase);
  return hashText(`${period} ${target} ${content} ${route}`) / HASH_RANGE;
}
