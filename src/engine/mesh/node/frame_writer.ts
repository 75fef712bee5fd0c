/** Encodes and decodes messages; sends the frames of one event loop turn as one. */
import { Packr } from "msgpackr";
import type { WebSocket } from "ws";
import { flattenFrame, parseFrame } from "../common/frames.ts";
import type { MeshFrame } from "../common/frames.ts";

const PACKR = new Packr({ useRecords: false });
/**
 * A message is sent at this size of bodies, so that none nears the largest
 * message that the peer accepts.
 */
const FLUSH_THRESHOLD_BYTES = 1_048_576;

/** Batches the frames of one event loop turn into one system call. */
export class FrameWriter {
  readonly #socket: WebSocket;
  readonly #readClock: () => number;
  #pendingFrames: MeshFrame[] = [];
  #pendingBodyBytes = 0;
  #isScheduled = false;

  constructor(socket: WebSocket, readClock: () => number) {
    this.#socket = socket;
    this.#readClock = readClock;
  }

  /** Bytes that the socket has not written yet. */
  get bufferedBytes(): number {
    return this.#socket.bufferedAmount + this.#pendingBodyBytes;
  }

  /** Sends a frame with the others of this turn of the event loop. */
  write(frame: MeshFrame): void {
    this.#pendingFrames.push(frame);
    this.#pendingBodyBytes += measureBodyBytes(frame);
    if (this.#pendingBodyBytes >= FLUSH_THRESHOLD_BYTES) {
      this.#flush();
    } else if (!this.#isScheduled) {
      this.#isScheduled = true;
      setImmediate(() => {
        this.#isScheduled = false;
        this.#flush();
      });
    }
  }

  #flush(): void {
    if (this.#pendingFrames.length === 0) {
      return;
    }
    const sentAtMs = Math.floor(this.#readClock());
    const encodedFrames = this.#pendingFrames.map((frame) =>
      flattenFrame(frame, sentAtMs)
    );
    const bytes = PACKR.pack([sentAtMs, ...encodedFrames]);
    this.#pendingFrames = [];
    this.#pendingBodyBytes = 0;
    if (this.#socket.readyState === this.#socket.OPEN) {
      this.#socket.send(bytes);
    }
  }
}

/**
 * Computes when a message arrived, by the receiver's clock. The zero of the
 * sender's clock is arbitrary.
 */
export type ComputeArrivalMs = (sentAtMs: number) => number;

/** Decodes the frames of a message; undefined if it is malformed. */
export function decodeMessage(
  bytes: Uint8Array,
  computeArrivalMs: ComputeArrivalMs,
): readonly MeshFrame[] | undefined {
  try {
    const [sentAtMs, ...encodedFrames] = PACKR.unpack(bytes) as readonly [
      number,
      ...(readonly unknown[])[],
    ];
    const arrivedAtMs = computeArrivalMs(sentAtMs);
    return encodedFrames.map((fields) => parseFrame(fields, arrivedAtMs))
      .filter((frame) => frame !== undefined);
  } catch {
    return undefined;
  }
}

function measureBodyBytes(frame: MeshFrame): number {
  switch (frame.type) {
    case "CallOpened":
    case "AnswerOpened":
      return frame.body.length;
    case "BodyPart":
      return frame.bytes.length;
    default:
      return 0;
  }
}
