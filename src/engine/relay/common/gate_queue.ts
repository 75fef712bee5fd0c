/**
 * The calls that wait before one backend server: in which order they run, and
 * which gives way where too many wait.
 *
 * Load pattern: more calls than places for seconds. Waiting is bounded by what
 * a refusal costs: a caller's own request may go elsewhere or come back, while
 * a call of a request that was begun takes all the work above it along.
 */

/** A call before the backend server. */
export interface GateCall {
  readonly id: number;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly isNested: boolean;
  readonly arrivedAtMs: number;
  /** When its answer still has its full value. */
  readonly dueAtMs: number;
  readonly deadlineMs: number;
}

/**
 * Callers' requests that may wait, as a multiple of the places: they may still
 * go elsewhere or come back. Calls of requests that were begun aren't counted:
 * a refusal would waste all that was done for them.
 */
const QUEUE_SHARE = 2;
const MIN_QUEUE = 8;
/** Any calls that may wait, as a multiple of the places; bounds the memory. */
const MAX_QUEUE_SHARE = 30;

/** Finds the call that gives way where too many wait. */
export function findVictim(
  queue: readonly GateCall[],
  slots: number,
): GateCall | undefined {
  const most = Math.max(MIN_QUEUE, slots * QUEUE_SHARE);
  if (queue.length <= most) {
    return undefined;
  }
  const roots = queue.filter(({ isNested }) => !isNested);
  if (roots.length > most) {
    return roots.reduce((worst, call) =>
      call.rank >= worst.rank ? call : worst
    );
  }
  return queue.length > slots * MAX_QUEUE_SHARE ? queue.at(-1) : undefined;
}

/**
 * Puts a call by when its answer is due, so that a short and urgent request passes calls
 * that have time to spare.
 */
export function putCall(queue: GateCall[], call: GateCall): void {
  let at = queue.length;
  while (at > 0 && compareCalls(call, queue[at - 1]!) < 0) {
    at -= 1;
  }
  queue.splice(at, 0, call);
}

function compareCalls(a: GateCall, b: GateCall): number {
  return a.dueAtMs - b.dueAtMs || a.rank - b.rank;
}
