/** The hybrid logical clock of a process, as it rides on messages. */
import type { HybridTime } from "./timeline_event.ts";

/** What senders and receivers of messages need of the clock. */
export interface ProcessClock {
  /** Reads the clock, to be sent along. */
  readonly read: () => HybridTime;
  /** Observes what came with a message; anything but a clock is ignored. */
  readonly observe: (received: unknown) => void;
}

/** Carries the clock on calls, on answers to nodes and on peer messages. */
export const CLOCK_HEADER = "basilpin-clock";

const ENCODED = /^(\d{1,15})\.(\d{1,9})$/;

/** Writes a clock as the value of its header. */
export function encodeClock({ wallMs, counter }: HybridTime): string {
  return `${wallMs}.${counter}`;
}

/** Reads the value of the header; undefined where it is no clock. */
export function decodeClock(value: unknown): HybridTime | undefined {
  const parts = typeof value === "string" ? ENCODED.exec(value) : null;
  return parts === null
    ? undefined
    : { wallMs: Number(parts[1]), counter: Number(parts[2]) };
}

/** Checks the clock of a message; undefined where it is none. */
export function checkClock(value: unknown): HybridTime | undefined {
  const { wallMs, counter } = (value ?? {}) as Partial<HybridTime>;
  return Number.isSafeInteger(wallMs) && Number.isSafeInteger(counter) &&
      wallMs! >= 0 && counter! >= 0
    ? { wallMs: wallMs!, counter: counter! }
    : undefined;
}
