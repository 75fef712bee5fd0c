/**
 * Queue of the calls that wait for one backend server: the order in which they
 * run, and which one is refused when the queue is full.
 *
 * Load pattern: more calls than slots for several seconds. The bounds depend on
 * the cost of a refusal. A root request may be sent elsewhere or repeated
 * later, while refusing a nested call wastes all work done upstream for its
 * request.
 */

/** A call at the gate. */
export interface GateCall {
  readonly id: number;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly isNested: boolean;
  readonly arrivedAtMs: number;
  /** Latest time at which its answer has its full value. */
  readonly dueAtMs: number;
  readonly deadlineMs: number;
}

/**
 * Root requests that may wait for each slot. Nested calls don't count towards
 * this limit, since refusing them is more costly.
 */
const ROOTS_PER_SLOT = 2;
/** The limit on waiting root requests is at least this. */
const MIN_ROOT_LIMIT = 8;
/** Calls of any kind that may wait for each slot; bounds the memory. */
const CALLS_PER_SLOT = 30;

/** Finds the call to refuse; undefined if the queue is within its bounds. */
export function findVictim(
  queue: readonly GateCall[],
  slots: number,
): GateCall | undefined {
  const rootLimit = Math.max(MIN_ROOT_LIMIT, slots * ROOTS_PER_SLOT);
  if (queue.length <= rootLimit) {
    return undefined;
  }
  const roots = queue.filter(({ isNested }) => !isNested);
  if (roots.length > rootLimit) {
    return roots.reduce((worst, call) =>
      call.rank >= worst.rank ? call : worst
    );
  }
  return queue.length > slots * CALLS_PER_SLOT ? queue.at(-1) : undefined;
}

/**
 * Inserts a call in the order of `dueAtMs`, so that a short or urgent request
 * overtakes calls that have time to spare.
 */
export function insertCall(queue: GateCall[], call: GateCall): void {
  let index = queue.length;
  while (index > 0 && compareCalls(call, queue[index - 1]!) < 0) {
    index -= 1;
  }
  queue.splice(index, 0, call);
}

function compareCalls(a: GateCall, b: GateCall): number {
  return a.dueAtMs - b.dueAtMs || a.rank - b.rank;
}
