/** Reads a request's body whole, within bounds. */
import type { IncomingMessage } from "node:http";

/** What came of it. */
export type BodyRead =
  | { readonly type: "Whole"; readonly body: Uint8Array }
  | { readonly type: "TooLarge" }
  /** This process holds as much as it may. */
  | { readonly type: "NoRoom" }
  /** The caller left before the end. */
  | { readonly type: "Broken" };

/** Bounds of a body. */
export interface BodyBounds {
  readonly maxBytes: number;
  /** Counts further bytes of the body as held; false where none are left. */
  readonly hold: (bytes: number) => boolean;
}

const EMPTY = new Uint8Array();

/** Reads to the end of the body, or until a bound is passed. */
export function readBody(
  request: IncomingMessage,
  bounds: BodyBounds,
): Promise<BodyRead> {
  const { headers } = request;
  const isEmpty = headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
  if (isEmpty) {
    return Promise.resolve({ type: "Whole", body: EMPTY });
  }
  return new Promise((resolve) => {
    const chunks: Uint8Array[] = [];
    let total = 0;
    const stop = (read: BodyRead) => {
      request.off("data", take);
      request.resume();
      resolve(read);
    };
    const take = (chunk: Uint8Array) => {
      total += chunk.length;
      if (total > bounds.maxBytes) {
        stop({ type: "TooLarge" });
      } else if (!bounds.hold(chunk.length)) {
        stop({ type: "NoRoom" });
      } else {
        chunks.push(chunk);
      }
    };
    request.on("data", take);
    request.on("end", () => {
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      resolve({ type: "Whole", body });
    });
    request.on("error", () => resolve({ type: "Broken" }));
    request.on("close", () => resolve({ type: "Broken" }));
  });
}
