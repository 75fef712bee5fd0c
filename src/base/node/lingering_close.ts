/** Closes a connection without losing the answers that were written on it. */
import type { Socket } from "node:net";

/** Longest wait for the other end to close too, in milliseconds. */
export const LINGER_MS = 1_000;

/**
 * Ends this direction of a connection once everything is written, and reads on
 * until the other end closes. A connection that is closed with unread bytes is
 * reset by the kernel, which drops what the other end has not read yet.
 */
export function closeLingering(socket: Socket): void {
  if (socket.destroyed || socket.writableEnded) {
    return;
  }
  socket.once("finish", () => {
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    socket.once("close", () => clearTimeout(timer));
  });
  socket.end();
  socket.resume();
}
