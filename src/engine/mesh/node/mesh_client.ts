/** The links that a node opens to other nodes, one to each address. */
import { WebSocket } from "ws";
import type { MeshFrame } from "../common/frames.ts";
import { decodeMessage, FrameWriter } from "./frame_writer.ts";

/** What the client is built from. */
export interface MeshClientOptions {
  readonly onFrame: (address: string, frame: MeshFrame) => void;
  /** The link is gone; frames sent on it may have arrived if it was open. */
  readonly onLost: (address: string, reason: string, wasOpen: boolean) => void;
  readonly readClock: () => number;
  /** Service on whose VM the calls begin; said first on each link. */
  readonly getService: () => string;
}

interface MeshLink {
  readonly socket: WebSocket;
  readonly writer: FrameWriter;
  /** Frames that wait for the link to open. */
  queuedFrames: MeshFrame[];
  wasOpen: boolean;
  lastReceivedAtMs: number;
  lastUsedAtMs: number;
}

/** Longest time that opening a link may take: some round trips and a loss. */
const CONNECT_TIMEOUT_MS = 800;
/** A link that isn't used for so long is closed. */
const IDLE_TIMEOUT_MS = 30_000;
/** Largest message that is taken; above all that a writer makes. */
export const MAX_MESSAGE_BYTES = 16_777_216;

/** Opens links on demand and tells their ends apart by address. */
export class MeshClient implements AsyncDisposable {
  readonly #options: MeshClientOptions;
  readonly #links = new Map<string, MeshLink>();

  constructor(options: MeshClientOptions) {
    this.#options = options;
  }

  /** Sends a frame, on a new link where there is none. */
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
   * Tells the other end that the caller of a call has left. Frames that still
   * wait for their link are taken back: a call that is sent once its caller is
   * gone has no withdrawal behind it, and is run for nobody.
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

  /** Opens a link where there is none. */
  open(address: string): void {
    if (!this.#links.has(address)) {
      this.#connect(address);
    }
  }

  /** Whether frames sent now leave at once. */
  isOpen(address: string): boolean {
    return this.#links.get(address)?.socket.readyState === WebSocket.OPEN;
  }

  /** When the other end was last heard; undefined without a link. */
  getHeardAtMs(address: string): number | undefined {
    return this.#links.get(address)?.lastReceivedAtMs;
  }

  /** Gives a link up: the other end went silent. */
  drop(address: string, reason: string): void {
    const link = this.#links.get(address);
    if (link !== undefined) {
      this.#links.delete(address);
      link.socket.terminate();
      this.#options.onLost(address, reason, link.wasOpen);
    }
  }

  /** Says on all links that the calls begin on another service's VM now. */
  introduce(): void {
    for (const { socket, writer } of this.#links.values()) {
      if (socket.readyState === WebSocket.OPEN) {
        writer.write(this.#createIntroduction());
      }
    }
  }

  /** Closes links that weren't used for long. */
  closeIdle(): void {
    const idleSinceMs = this.#options.readClock() - IDLE_TIMEOUT_MS;
    for (const [address, link] of this.#links) {
      if (link.lastUsedAtMs < idleSinceMs) {
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

  #createIntroduction(): MeshFrame {
    return { type: "CallerIntroduced", service: this.#options.getService() };
  }

  #connect(address: string): MeshLink {
    const socket = new WebSocket(`ws://${address}/`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      perMessageDeflate: false,
      maxPayload: MAX_MESSAGE_BYTES,
      // The peers are ours: a mask of zeros saves a pass over every byte.
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
      writer.write(this.#createIntroduction());
      const { queuedFrames: queued } = link;
      link.queuedFrames = [];
      queued.forEach((frame) => writer.write(frame));
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
