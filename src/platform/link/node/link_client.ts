/** The node's end of its one link to a control replica. */
import { WebSocket } from "ws";
import type { ControlMessage, NodeMessage } from "../common/link_messages.ts";
import { HEARTBEAT_MS, LINK_SILENCE_MS } from "../common/link_messages.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/node/message_codec.ts";

/** What the client is built from. */
export interface LinkClientOptions {
  /** `host:port` of the control replicas, nearest first. */
  readonly replicas: readonly string[];
  readonly onMessage: (message: ControlMessage) => void;
  /** A link is open: announce and subscribe anew. */
  readonly onOpen: (replica: string) => void;
  readonly onClose: (replica: string) => void;
  readonly createHeartbeat: () => NodeMessage;
}

const RECONNECT_MS = 250;
const CONNECT_TIMEOUT_MS = 1_500;

/** Keeps one link open and goes to the next replica when it fails. */
export class LinkClient implements AsyncDisposable {
  readonly #options: LinkClientOptions;
  #socket: WebSocket | undefined;
  #replica = 0;
  #isClosed = false;
  #reconnect: NodeJS.Timeout | undefined;

  constructor(options: LinkClientOptions) {
    this.#options = options;
  }

  /** Starts connecting. */
  open(): void {
    if (this.#isClosed) {
      return;
    }
    const { replicas } = this.#options;
    const replica = replicas[this.#replica % replicas.length]!;
    const socket = new WebSocket(`ws://${replica}/`, {
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      perMessageDeflate: false,
    });
    this.#socket = socket;
    this.#watch(socket, replica);
  }

  /** Sends if a link is open; presence is told anew when one opens. */
  send(message: NodeMessage): void {
    if (this.#socket?.readyState === WebSocket.OPEN) {
      this.#socket.send(encodeMessage(message));
    }
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#isClosed = true;
    clearTimeout(this.#reconnect);
    const socket = this.#socket;
    if (socket === undefined || socket.readyState === WebSocket.CLOSED) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      socket.on("close", () => resolve());
      socket.close();
      setTimeout(() => socket.terminate(), RECONNECT_MS).unref();
    });
  }

  #watch(socket: WebSocket, replica: string): void {
    const { onMessage, onOpen, onClose, createHeartbeat } = this.#options;
    const silence = setTimeout(() => socket.terminate(), LINK_SILENCE_MS);
    const heartbeat = setInterval(
      () => this.send(createHeartbeat()),
      HEARTBEAT_MS,
    );
    socket.on("open", () => onOpen(replica));
    socket.on("message", (data: Buffer) => {
      silence.refresh();
      const message = decodeMessage<ControlMessage>(data);
      if (message !== undefined) {
        onMessage(message);
      }
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => {
      clearTimeout(silence);
      clearInterval(heartbeat);
      onClose(replica);
      this.#retry();
    });
  }

  #retry(): void {
    if (this.#isClosed) {
      return;
    }
    this.#replica += 1;
    this.#reconnect = setTimeout(() => this.open(), RECONNECT_MS);
  }
}
