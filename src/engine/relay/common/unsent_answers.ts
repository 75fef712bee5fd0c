/**
 * Bounds the bytes of answers that callers have not read yet. Callers that read
 * slowly would otherwise fill the memory of the node.
 */

/** Limits on unsent answers. */
export interface UnsentAnswerLimits {
  /** Bytes of all answers together. */
  readonly maxBytes: number;
  /**
   * Bytes beyond `maxBytes` for answers of at most `smallBytes`, so that a few
   * large answers to slow callers don't take the room of all others.
   */
  readonly smallReserveBytes: number;
  readonly smallBytes: number;
  /**
   * An answer of which nothing was sent for this long may be cut to make room,
   * in milliseconds.
   */
  readonly stallMs: number;
}

/** Whether an answer can be sent. */
export type AnswerRoom<T> =
  /** It can, once the answers `stalled` have been cut. */
  | { readonly type: "Room"; readonly stalled: readonly T[] }
  /** It can't: all others are being read. */
  | { readonly type: "NoRoom" };

interface UnsentAnswer {
  readonly bytes: number;
  /** Infinite while it waits for answers before it on its connection. */
  lastProgressAtMs: number;
}

/** The answers of one listener that are not sent completely. */
export class UnsentAnswers<T> {
  readonly #limits: UnsentAnswerLimits;
  readonly #answers = new Map<T, UnsentAnswer>();
  #bytes = 0;

  constructor(limits: UnsentAnswerLimits) {
    this.#limits = limits;
  }

  /** Bytes of all answers that are not sent completely. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Decides whether there is room for an answer. Stalled answers are given up
   * only if that makes enough room, those that stalled first before others.
   */
  evaluate(bytes: number, nowMs: number): AnswerRoom<T> {
    const { maxBytes, smallReserveBytes, smallBytes, stallMs } = this.#limits;
    const limit = maxBytes + (bytes <= smallBytes ? smallReserveBytes : 0);
    let excess = this.#bytes + bytes - limit;
    if (excess <= 0) {
      return { type: "Room", stalled: [] };
    }
    const candidates = [...this.#answers]
      .filter(([, answer]) => nowMs - answer.lastProgressAtMs >= stallMs)
      .sort(([, a], [, b]) => a.lastProgressAtMs - b.lastProgressAtMs);
    const stalled: T[] = [];
    for (const [key, answer] of candidates) {
      stalled.push(key);
      excess -= answer.bytes;
      if (excess <= 0) {
        return { type: "Room", stalled };
      }
    }
    return { type: "NoRoom" };
  }

  /**
   * Counts an answer until it is removed. One that isn't being sent since
   * `startedAtMs` yet can't stall before its first progress.
   */
  add(key: T, bytes: number, startedAtMs: number | undefined): void {
    this.remove(key);
    const lastProgressAtMs = startedAtMs ?? Infinity;
    this.#answers.set(key, { bytes, lastProgressAtMs });
    this.#bytes += bytes;
  }

  /** Records that a part of an answer was sent. */
  recordProgress(key: T, nowMs: number): void {
    const answer = this.#answers.get(key);
    if (answer !== undefined) {
      answer.lastProgressAtMs = nowMs;
    }
  }

  /** Removes an answer that was sent, or can't be sent any more. */
  remove(key: T): void {
    this.#bytes -= this.#answers.get(key)?.bytes ?? 0;
    this.#answers.delete(key);
  }
}
