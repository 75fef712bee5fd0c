/** Sends the frames of one turn of the event loop as one message. */
import { Packr } from "msgpackr";
import type { WebSocket } from "ws";
import { flattenFrame, parseFrame } from "../common/frames.ts";
import type { MeshFrame } from "../common/frames.ts";

const PACKR = new Packr({ useRecords: false });
/** A message is closed at this size, so that none nears the largest taken. */
const MESSAGE_BYTES = 1_048_576;

/** Collects frames until the turn ends: one system call for all of them. */
export class FrameWriter {
  readonly #socket: WebSocket;
  readonly #readClock: () => number;
  #frames: MeshFrame[] = [];
  #bytes = 0;
  #isScheduled = false;

  constructor(socket: WebSocket, readClock: () => number) {
    this.#socket = socket;
    this.#readClock = readClock;
  }

  /** Bytes that the socket has not taken yet. */
  get bufferedBytes(): number {
    return this.#socket.bufferedAmount + this.#bytes;
  }

  /** Sends a frame with the others of this turn. */
  write(frame: MeshFrame): void {
    this.#frames.push(frame);
    this.#bytes += measureBody(frame);
    if (this.#bytes >= MESSAGE_BYTES) {
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
    if (this.#frames.length === 0) {
      return;
    }
    const sentAtMs = Math.floor(this.#readClock());
    const lists = this.#frames.map((frame) => flattenFrame(frame, sentAtMs));
    const bytes = PACKR.pack([sentAtMs, ...lists]);
    this.#frames = [];
    this.#bytes = 0;
    if (this.#socket.readyState === this.#socket.OPEN) {
      this.#socket.send(bytes);
    }
  }
}

/** Tells when a message arrived; its sender's clock counts from any time. */
export type DateArrival = (sentAtMs: number) => number;

/** Reads the frames of a message; undefined where the bytes are none. */
export function decodeMessage(
  bytes: Uint8Array,
  dateArrival: DateArrival,
): readonly MeshFrame[] | undefined {
  try {
    const [sentAtMs, ...lists] = PACKR.unpack(bytes) as readonly [
      number,
      ...(readonly unknown[])[],
    ];
    const arrivedAtMs = dateArrival(sentAtMs);
    return lists.map((fields) => parseFrame(fields, arrivedAtMs))
      .filter((frame) => frame !== undefined);
  } catch {
    return undefined;
  }
}

function measureBody(frame: MeshFrame): number {
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
