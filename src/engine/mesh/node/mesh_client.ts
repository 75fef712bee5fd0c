/** Links that a node opens to other nodes, one for each address. */
import { WebSocket } from "ws";
import type { BackendNotice, MeshFrame } from "../common/frames.ts";
import { decodeMessage, FrameWriter } from "./frame_writer.ts";

/** What the client depends on. */
export interface MeshClientOptions {
  /** Called for each frame received. */
  readonly onFrame: (address: string, frame: MeshFrame) => void;
  /** Called when a link is lost; if it was open, sent frames may have arrived. */
  readonly onLost: (address: string, reason: string, wasOpen: boolean) => void;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
  /** Returns the service on whose VM calls begin; sent first on each link. */
  readonly getService: () => string;
  /**
   * Returns what is known of the backend server at an address, which the
   * introduction passes on; undefined if nothing is.
   */
  readonly getNotice: (address: string) => BackendNotice | undefined;
}

interface MeshLink {
  readonly socket: WebSocket;
  readonly writer: FrameWriter;
  /** Frames to send once the link is open. */
  queuedFrames: MeshFrame[];
  /** Whether the link has ever been open. */
  wasOpen: boolean;
  /**
   * When the last message was received; before the first one, when the link
   * opened or, if it is not open yet, was created.
   */
  lastReceivedAtMs: number;
  lastUsedAtMs: number;
}

/** Allows for several round trips and one lost packet. */
const CONNECT_TIMEOUT_MS = 800;
/** Links without calls on which nothing is sent for this long are closed. */
const IDLE_TIMEOUT_MS = 30_000;
/** Largest message accepted; above any that `FrameWriter` sends. */
export const MAX_MESSAGE_BYTES = 16_777_216;

/** Opens links on demand, and identifies them by address. */
export class MeshClient implements AsyncDisposable {
  readonly #options: MeshClientOptions;
  readonly #links = new Map<string, MeshLink>();

  constructor(options: MeshClientOptions) {
    this.#options = options;
  }

  /** Sends a frame, on a new link if there is none. */
  send(address: string, frame: MeshFrame): void {
    const link = this.#links.get(address) ?? this.#connect(address);
    link.lastUsedAtMs = this.#options.readClock();
    if (link.socket.readyState === WebSocket.OPEN) {
      link.writer.write(frame);
    } else {
      link.queuedFrames.push(frame);
    }
  }

  /**
   * Cancels a call at the other end. If the link is not open yet, drops the
   * queued frames of the call instead: they would be sent without a
   * cancellation behind them, and the call would run after its caller left.
   */
  withdraw(address: string, call: number): void {
    const link = this.#links.get(address);
    if (link?.socket.readyState === WebSocket.OPEN) {
      link.writer.write({ type: "CallCancelled", call });
    } else if (link !== undefined) {
      link.queuedFrames = link.queuedFrames
        .filter((frame) => !("call" in frame) || frame.call !== call);
    }
  }

  /**
   * Cancels a call unless the backend server at the other end has received it.
   * Ignored if the link is not open.
   */
  recall(address: string, call: number): void {
    const link = this.#links.get(address);
    if (link?.socket.readyState === WebSocket.OPEN) {
      link.writer.write({ type: "CallCancelled", call, isRecall: true });
    }
  }

  /** Opens a link if there is none. */
  open(address: string): void {
    if (!this.#links.has(address)) {
      this.#connect(address);
    }
  }

  /** Whether the link is open, so that frames leave at once. */
  isOpen(address: string): boolean {
    return this.#links.get(address)?.socket.readyState === WebSocket.OPEN;
  }

  /** Whether the link is being opened: no frame on it has left yet. */
  isOpening(address: string): boolean {
    return this.#links.get(address)?.socket.readyState === WebSocket.CONNECTING;
  }

  /** Returns when the last message was received; undefined without a link. */
  getLastReceivedAtMs(address: string): number | undefined {
    return this.#links.get(address)?.lastReceivedAtMs;
  }

  /** Terminates a link as lost, e.g. because the other end went silent. */
  drop(address: string, reason: string): void {
    const link = this.#links.get(address);
    if (link !== undefined) {
      this.#links.delete(address);
      link.socket.terminate();
      this.#options.onLost(address, reason, link.wasOpen);
    }
  }

  /** Sends a changed service of this VM on all open links. */
  introduce(): void {
    for (const [address, { socket, writer }] of this.#links) {
      if (socket.readyState === WebSocket.OPEN) {
        writer.write(this.#createIntroduction(address));
      }
    }
  }

  /**
   * Closes the links on which nothing was sent for `IDLE_TIMEOUT_MS`, except to
   * `calledAddresses`, where calls are in progress: an answer may take longer.
   */
  closeIdle(calledAddresses: ReadonlySet<string>): void {
    const idleSinceMs = this.#options.readClock() - IDLE_TIMEOUT_MS;
    for (const [address, link] of this.#links) {
      if (link.lastUsedAtMs < idleSinceMs && !calledAddresses.has(address)) {
        this.#links.delete(address);
        link.socket.terminate();
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const links = [...this.#links.values()];
    this.#links.clear();
    links.forEach(({ socket }) => socket.terminate());
    await Promise.resolve();
  }

  #createIntroduction(address: string): MeshFrame {
    const { getService, getNotice } = this.#options;
    return {
      type: "CallerIntroduced",
      service: getService(),
      notice: getNotice(address),
    };
  }

  #connect(address: string): MeshLink {
    const socket = new WebSocket(`ws://${address}/`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      perMessageDeflate: false,
      maxPayload: MAX_MESSAGE_BYTES,
      // All peers are nodes, so that a mask of zeros is safe; it saves a pass
      // over every byte.
      generateMask: (mask) => mask.fill(0),
    });
    const nowMs = this.#options.readClock();
    const link: MeshLink = {
      socket,
      writer: new FrameWriter(socket, this.#options.readClock),
      queuedFrames: [],
      wasOpen: false,
      lastReceivedAtMs: nowMs,
      lastUsedAtMs: nowMs,
    };
    this.#links.set(address, link);
    this.#attachListeners(address, link);
    return link;
  }

  #attachListeners(address: string, link: MeshLink): void {
    const { socket, writer } = link;
    socket.on("open", () => {
      link.lastReceivedAtMs = this.#options.readClock();
      link.wasOpen = true;
      writer.write(this.#createIntroduction(address));
      const { queuedFrames } = link;
      link.queuedFrames = [];
      queuedFrames.forEach((frame) => writer.write(frame));
    });
    socket.on("message", (data: Buffer) => {
      const nowMs = this.#options.readClock();
      link.lastReceivedAtMs = nowMs;
      const frames = decodeMessage(data, () => nowMs);
      if (frames === undefined) {
        this.#handleLoss(address, link, "unreadable message");
        return;
      }
      frames.forEach((frame) => this.#options.onFrame(address, frame));
    });
    socket.on(
      "error",
      (error) => this.#handleLoss(address, link, error.message),
    );
    socket.on("close", () => this.#handleLoss(address, link, "closed"));
  }

  #handleLoss(address: string, link: MeshLink, reason: string): void {
    link.socket.terminate();
    if (this.#links.get(address) === link) {
      this.#links.delete(address);
      this.#options.onLost(address, reason, link.wasOpen);
    }
  }
}
