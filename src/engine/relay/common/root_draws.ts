/**
 * Draws that decide which root requests are refused. Repeats of a request get
 * the same draw, so that a client doesn't get in by repeating it at once.
 *
 * Load pattern: many clients ask for the same resource. With one draw for all of
 * them, all would be admitted or refused together for seconds.
 */
import { hashBytes, hashText } from "../../../base/common/hash.ts";

/** Content of a root request. */
export interface DrawnRequest {
  readonly route: string;
  readonly target: string;
  readonly body: Uint8Array;
}

/** Time in which the repeats of a request get the same draw. */
export const DRAW_PERIOD_MS = 8_000;
/** Requests of one content in a period that may all be one client's. */
const MAX_REPEATS = 16;
/** Contents that are counted in a period; the others count as rare. */
const MAX_COUNTED_CONTENTS = 2_048;
/** Leading bytes of a body that are hashed; hashing all would cost more. */
const HASHED_BYTES = 1_024;
const HASH_RANGE = 0x1_0000_0000;

/** Draws for the requests of one entry node. */
export class RootDraws {
  readonly #draw: () => number;
  /** Requests by the hash of their content, in this period and the last one. */
  #counts = new Map<number, number>();
  #lastCounts: ReadonlyMap<number, number> = new Map();
  #period = 0;

  /** `draw` returns a random number from 0 to 1. */
  constructor(draw: () => number) {
    this.#draw = draw;
  }

  /**
   * Draws a number from 0 to 1. Requests of one content share it, unless there
   * are more of them than one client repeats.
   */
  drawFor(request: DrawnRequest, nowMs: number): number {
    const content = describeContent(request);
    return this.#countRequests(hashText(content), nowMs) > MAX_REPEATS
      ? this.#draw()
      : drawForContent(content, nowMs);
  }

  /** Counts a request, and returns the count of its content. */
  #countRequests(hash: number, nowMs: number): number {
    const period = Math.floor(nowMs / DRAW_PERIOD_MS);
    if (period !== this.#period) {
      this.#lastCounts = period === this.#period + 1 ? this.#counts : new Map();
      this.#counts = new Map();
      this.#period = period;
    }
    const count = (this.#counts.get(hash) ?? 0) + 1;
    if (count > 1 || this.#counts.size < MAX_COUNTED_CONTENTS) {
      this.#counts.set(hash, count);
    }
    return Math.max(count, this.#lastCounts.get(hash) ?? 0);
  }
}

function describeContent({ route, target, body }: DrawnRequest): string {
  const hash = hashBytes(body.subarray(0, HASHED_BYTES));
  return `${target} ${body.length} ${hash} ${route}`;
}

/**
 * Draws a number from 0 to 1, derived from the content and the period and not
 * from the id of a request, since each repeat has a new id. Periods of different
 * contents end at different times.
 */
function drawForContent(content: string, nowMs: number): number {
  const phase = hashText(content) / HASH_RANGE;
  const period = Math.floor(nowMs / DRAW_PERIOD_MS + phase);
  return hashText(`${period} ${content}`) / HASH_RANGE;
}
