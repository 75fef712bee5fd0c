/** The hybrid logical clock of a process, as transmitted with messages. */
import type { HybridTime } from "./timeline_event.ts";

/** Access to the clock for senders and receivers of messages. */
export interface ProcessClock {
  /** Returns the current clock, to be sent with a message. */
  readonly read: () => HybridTime;
  /** Processes the clock received with a message; ignores invalid values. */
  readonly observe: (received: unknown) => void;
}

/** Header with the clock, on calls, answers to nodes and peer messages. */
export const CLOCK_HEADER = "basilpin-clock";

const ENCODED_CLOCK = /^(\d{1,15})\.(\d{1,9})$/;

/** Encodes a clock as a header value. */
export function encodeClock({ wallMs, counter }: HybridTime): string {
  return `${wallMs}.${counter}`;
}

/** Decodes a header value; undefined if it is invalid. */
export function decodeClock(value: unknown): HybridTime | undefined {
  const parts = typeof value === "string" ? ENCODED_CLOCK.exec(value) : null;
  return parts === null
    ? undefined
    : { wallMs: Number(parts[1]), counter: Number(parts[2]) };
}

/** Validates the clock of a message; undefined if it is invalid. */
export function checkClock(value: unknown): HybridTime | undefined {
  const { wallMs, counter } = (value ?? {}) as Partial<HybridTime>;
  return Number.isSafeInteger(wallMs) && Number.isSafeInteger(counter) &&
      wallMs! >= 0 && counter! >= 0
    ? { wallMs: wallMs!, counter: counter! }
    : undefined;
}
