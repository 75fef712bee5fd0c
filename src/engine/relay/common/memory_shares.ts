/**
 * Divides the memory of a relay process among the bytes that it holds for
 * others, so that all limits together fit into the process.
 */

/** Limits on bytes that are held, each for all calls together. */
export interface MemoryShares {
  /** Bodies of callers' requests. */
  readonly requestBodies: number;
  /** Bodies of calls at the gate. */
  readonly gateBodies: number;
  /** Answers of the backend server that are being read. */
  readonly backendAnswers: number;
  /** Answers of other nodes that arrive in parts. */
  readonly collectedAnswers: number;
  /** Answers that callers have not read. */
  readonly unsentAnswers: number;
  /** Further unsent answers, for short ones only. */
  readonly shortAnswers: number;
  /** Frames that other nodes have not read. */
  readonly links: number;
}

/** Code, stacks, and the heap of a busy process. */
export const RESERVED_BYTES = 115_343_360;
/** The least that is divided, where a process has less memory. */
const MIN_HELD_BYTES = 33_554_432;

/** Computes the shares of a process that may use `processBytes`. */
export function computeMemoryShares(processBytes: number): MemoryShares {
  const heldBytes = Math.max(MIN_HELD_BYTES, processBytes - RESERVED_BYTES);
  const share = (ratio: number) => Math.floor(heldBytes * ratio);
  return {
    requestBodies: share(0.2),
    gateBodies: share(0.2),
    backendAnswers: share(0.2),
    collectedAnswers: share(0.1),
    unsentAnswers: share(0.2),
    shortAnswers: share(0.03),
    links: share(0.07),
  };
}
