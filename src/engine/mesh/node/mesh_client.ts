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
  waiting: MeshFrame[];
  wasOpen: boolean;
  heardAtMs: number;
  usedAtMs: number;
}

/** Longest time that opening a link may take: some round trips and a loss. */
const CONNECT_MS = 800;
/** A link that isn't used for so long is closed. */
const IDLE_MS = 30_000;
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
    link.usedAtMs = this.#options.readClock();
    if (link.socket.readyState === WebSocket.OPEN) {
      link.writer.write(frame);
    } else {
      link.waiting.push(frame);
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
      link.waiting = link.waiting
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
    return this.#links.get(address)?.heardAtMs;
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
    const oldestMs = this.#options.readClock() - IDLE_MS;
    for (const [address, link] of this.#links) {
      if (link.usedAtMs < oldestMs) {
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
      handshakeTimeout: CONNECT_MS,
      perMessageDeflate: false,
      maxPayload: MAX_MESSAGE_BYTES,
      // The peers are ours: a mask of zeros saves a pass over every byte.
      generateMask: (mask) => mask.fill(0),
    });
    const nowMs = this.#options.readClock();
    const link: MeshLink = {
      socket,
      writer: new FrameWriter(socket, this.#options.readClock),
      waiting: [],
      wasOpen: false,
      heardAtMs: nowMs,
      usedAtMs: nowMs,
    };
    this.#links.set(address, link);
    this.#watch(address, link);
    return link;
  }

  #watch(address: string, link: MeshLink): void {
    const { socket, writer } = link;
    socket.on("open", () => {
      link.heardAtMs = this.#options.readClock();
      link.wasOpen = true;
      writer.write(this.#createIntroduction());
      const { waiting } = link;
      link.waiting = [];
      waiting.forEach((frame) => writer.write(frame));
    });
    socket.on("message", (data: Buffer) => {
      const nowMs = this.#options.readClock();
      link.heardAtMs = nowMs;
      const frames = decodeMessage(data, () => nowMs);
      if (frames === undefined) {
        this.#lose(address, link, "unreadable message");
        return;
      }
      frames.forEach((frame) => this.#options.onFrame(address, frame));
    });
    socket.on("error", (error) => this.#lose(address, link, error.message));
    socket.on("close", () => this.#lose(address, link, "closed"));
  }

  #lose(address: string, link: MeshLink, reason: string): void {
    link.socket.terminate();
    if (this.#links.get(address) === link) {
      this.#links.delete(address);
      this.#options.onLost(address, reason, link.wasOpen);
    }
  }
}
