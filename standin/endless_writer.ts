/** Writes bytes without end, as a faulty process does. */
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** How bytes are written. */
export interface EndlessBytes {
  /** Written again and again. */
  readonly part: string;
  /** Pause after each part. */
  readonly pauseMs: number;
  /** Number of bytes after which the writer gives up. */
  readonly maxBytes: number;
}

/** Writes parts until the connection closes; returns the number of bytes. */
export async function writeEndlessly(
  socket: Socket,
  { part, pauseMs, maxBytes }: EndlessBytes,
): Promise<number> {
  let sentBytes = 0;
  while (!socket.destroyed && sentBytes < maxBytes) {
    sentBytes += part.length;
    if (!socket.write(part)) {
      await new Promise<void>((resolve) => {
        const end = () => {
          socket.off("drain", end).off("close", end);
          resolve();
        };
        socket.on("drain", end).on("close", end);
      });
    }
    await sleep(pauseMs);
  }
  return sentBytes;
}
