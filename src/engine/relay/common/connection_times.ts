/** Tells when a caller's connection exceeds the limits on its times. */
import type { RequestLimits } from "../../routes/common/route_table.ts";

/** What a connection waits for. */
export type ConnectionPhase =
  /** The answer to a request. */
  | "Answer"
  /** The first byte of a request. */
  | "Request"
  /** The rest of a request's head. */
  | "Head"
  /** The rest of the body of a request that has its answer. */
  | "Rest";

/** The limits in force; 0 means no limit. */
export type TimeLimits = Pick<
  RequestLimits,
  "headerTimeoutMs" | "idleTimeoutMs"
>;

/**
 * Callers count idle time from when an answer arrives, and a request may be on
 * its way when the limit is reached.
 */
const IDLE_GRACE_MS = 1_000;

/** The current phase of a connection, and since when it lasts. */
export class ConnectionTimes {
  #phase: ConnectionPhase = "Request";
  #sinceMs: number;

  /** `nowMs` is when the connection was accepted, by the steady clock. */
  constructor(nowMs: number) {
    this.#sinceMs = nowMs;
  }

  /** Starts a phase, even if it is the same as the last one. */
  start(phase: ConnectionPhase, nowMs: number): void {
    this.#phase = phase;
    this.#sinceMs = nowMs;
  }

  /** Records the phase at `nowMs`, which may have started earlier. */
  observe(phase: ConnectionPhase, nowMs: number): void {
    if (phase !== this.#phase) {
      this.start(phase, nowMs);
    }
  }

  /** Returns the phase if it has lasted too long, otherwise undefined. */
  getOverdue(limits: TimeLimits, nowMs: number): ConnectionPhase | undefined {
    const maxMs = computeMaxMs(this.#phase, limits);
    return nowMs - this.#sinceMs >= maxMs ? this.#phase : undefined;
  }
}

function computeMaxMs(
  phase: ConnectionPhase,
  { headerTimeoutMs, idleTimeoutMs }: TimeLimits,
): number {
  if (phase === "Answer") {
    return Infinity;
  }
  if (phase === "Head") {
    return headerTimeoutMs > 0 ? headerTimeoutMs : Infinity;
  }
  return idleTimeoutMs > 0 ? idleTimeoutMs + IDLE_GRACE_MS : Infinity;
}
