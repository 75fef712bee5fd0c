/** Closes the listener of a server, and leaves its connections alone. */
import { Server } from "node:net";
import { performance } from "node:perf_hooks";

/**
 * Longest time for which connections that wait to be accepted delay the close,
 * in milliseconds: more may come all the time.
 */
const MAX_ACCEPT_MS = 250;

/**
 * Longest turn of the event loop after which the accept queue counts as empty,
 * as a ratio of the time waited so far. The queue is looked at early in a turn,
 * and a connection that comes later in it is reset, so a short turn is best.
 * The limit grows because a busy loop may have no short turns.
 */
const MAX_TURN_RATIO = 0.05;

/**
 * Accepts the connections that wait in the accept queue, and then stops to
 * listen. The kernel resets what is in the queue when the listener is closed,
 * although its callers are connected and may have sent a request. Later callers
 * are refused by the kernel. One that connects in the turn of the event loop in
 * which the listener is closed may still be reset; none of its bytes were read.
 *
 * `close` of an HTTP server is not called: it also destroys connections whose
 * answer is complete but not yet written.
 */
export async function closeListener(server: Server): Promise<void> {
  const startedAtMs = performance.now();
  let isQueueEmpty = false;
  let waitedMs = 0;
  let hasAccepted = false;
  const recordAccepted = () => hasAccepted = true;
  server.on("connection", recordAccepted);
  while (!isQueueEmpty && waitedMs < MAX_ACCEPT_MS) {
    hasAccepted = false;
    await waitForTurn();
    const turnMs = performance.now() - startedAtMs - waitedMs;
    waitedMs += turnMs;
    isQueueEmpty = !hasAccepted && turnMs <= MAX_TURN_RATIO * waitedMs;
  }
  server.off("connection", recordAccepted);
  Server.prototype.close.call(server);
}

/** Resolves when the sockets that are readable now have been read once. */
export function waitForTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
