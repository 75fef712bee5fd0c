/** Sends the frames of one turn of the event loop as one message. */
import { Packr } from "msgpackr";
import type { WebSocket } from "ws";
import { flattenFrame, parseFrame } from "../common/frames.ts";
import type { MeshFrame } from "../common/frames.ts";

const PACKR = new Packr({ useRecords: false });
/** A message is closed at this size, so that none nears the largest taken. */
const FLUSH_THRESHOLD_BYTES = 1_048_576;

/** Collects frames until the turn ends: one system call for all of them. */
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

  /** Bytes that the socket has not taken yet. */
  get bufferedBytes(): number {
    return this.#socket.bufferedAmount + this.#pendingBodyBytes;
  }

  /** Sends a frame with the others of this turn. */
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

/** Tells when a message arrived; its sender's clock counts from any time. */
export type ComputeArrivalMs = (sentAtMs: number) => number;

/** Reads the frames of a message; undefined where the bytes are none. */
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
