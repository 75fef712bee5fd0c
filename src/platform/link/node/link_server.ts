/** The control replica's end of the links to nodes. */
import { createServer } from "node:http";
import type { Server } from "node:http";
import { WebSocketServer } from "ws";
import type { WebSocket } from "ws";
import { listen, type ListenAddress } from "../../../base/node/listen.ts";
import type { ControlMessage, NodeMessage } from "../common/link_messages.ts";
import { LINK_SILENCE_MS } from "../common/link_messages.ts";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/node/message_codec.ts";

/** What the server is built from. */
export interface LinkServerOptions {
  readonly address: ListenAddress;
  readonly onMessage: (linkId: number, message: NodeMessage) => void;
  readonly onClose: (linkId: number) => void;
}

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/** Accepts links and tells them apart by number. */
export class LinkServer implements AsyncDisposable {
  readonly #options: LinkServerOptions;
  readonly #http: Server = createServer();
  readonly #sockets = new WebSocketServer({
    server: this.#http,
    maxPayload: MAX_MESSAGE_BYTES,
    perMessageDeflate: false,
  });
  readonly #links = new Map<number, WebSocket>();
  #nextLink = 1;

  constructor(options: LinkServerOptions) {
    this.#options = options;
    this.#sockets.on("connection", (socket) => this.#accept(socket));
  }

  /** Opens the listener. */
  async open(): Promise<void> {
    await listen(this.#http, this.#options.address);
  }

  /** Sends to one link; a closed one is passed over. */
  send(linkId: number, message: ControlMessage): void {
    this.#links.get(linkId)?.send(encodeMessage(message));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#links.values()) {
      socket.terminate();
    }
    this.#sockets.close();
    this.#http.closeAllConnections();
    await new Promise<void>((resolve) => this.#http.close(() => resolve()));
  }

  #accept(socket: WebSocket): void {
    const linkId = this.#nextLink++;
    this.#links.set(linkId, socket);
    const silence = setTimeout(() => socket.terminate(), LINK_SILENCE_MS);
    socket.on("message", (data: Buffer) => {
      silence.refresh();
      const message = decodeMessage<NodeMessage>(data);
      if (message === undefined) {
        socket.terminate();
        return;
      }
      this.#options.onMessage(linkId, message);
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => {
      clearTimeout(silence);
      this.#links.delete(linkId);
      this.#options.onClose(linkId);
    });
  }
}
