/** The control replica's end of the links to nodes. */
import type { Server } from "node:http";
import { WebSocketServer } from "ws";
import type { WebSocket } from "ws";
import { listen, type ListenAddress } from "../../../base/node/listen.ts";
import { createServer } from "../../../base/node/tls.ts";
import type { TlsKeys } from "../../../base/node/tls.ts";
import type {
  InboundMessage,
  OutboundMessage,
} from "../common/link_messages.ts";
import { LINK_TIMEOUT_MS } from "../common/link_messages.ts";
import { decodeMessage } from "../../../base/node/message_codec.ts";
import type { ProcessClock } from "../../telemetry/common/process_clock.ts";
import { encodeClocked } from "./clocked_message.ts";
import type { Clocked } from "./clocked_message.ts";

/** What the server is built from. */
export interface LinkServerOptions {
  readonly address: ListenAddress;
  /** With it, only clients of the authority are taken. */
  readonly tls?: TlsKeys | undefined;
  readonly onMessage: (linkId: number, message: InboundMessage) => void;
  readonly onClose: (linkId: number) => void;
  /** Rides on every message, both ways. */
  readonly clock: ProcessClock;
  /** Silence after which a link is closed. */
  readonly silenceMs?: number | undefined;
}

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Accepts links and tells them apart by number. */
export class LinkServer implements AsyncDisposable {
  readonly #options: LinkServerOptions;
  readonly #http: Server;
  readonly #sockets: WebSocketServer;
  readonly #links = new Map<number, WebSocket>();
  #nextLink = 1;
  #last:
    | { readonly message: OutboundMessage; readonly bytes: Uint8Array }
    | undefined;

  constructor(options: LinkServerOptions) {
    this.#options = options;
    this.#http = createServer({ tls: options.tls, isMutual: true });
    this.#sockets = new WebSocketServer({
      server: this.#http,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.#sockets.on("connection", (socket) => this.#accept(socket));
  }

  /** Opens the listener. */
  async open(): Promise<void> {
    await listen(this.#http, this.#options.address);
  }

  /** Sends to one link; a closed one is passed over, a clogged one closed. */
  send(linkId: number, message: OutboundMessage): void {
    const socket = this.#links.get(linkId);
    if (socket === undefined) {
      return;
    }
    if (socket.bufferedAmount > MAX_BUFFERED_BYTES) {
      socket.terminate();
      return;
    }
    socket.send(this.#encode(message));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const socket of this.#links.values()) {
      socket.terminate();
    }
    this.#sockets.close();
    this.#http.closeAllConnections();
    await new Promise<void>((resolve) => this.#http.close(() => resolve()));
  }

  /** A message to many links is encoded once. */
  #encode(message: OutboundMessage): Uint8Array {
    if (this.#last?.message !== message) {
      const bytes = encodeClocked(message, this.#options.clock);
      this.#last = { message, bytes };
    }
    return this.#last.bytes;
  }

  #accept(socket: WebSocket): void {
    const linkId = this.#nextLink++;
    this.#links.set(linkId, socket);
    const silence = setTimeout(
      () => socket.terminate(),
      this.#options.silenceMs ?? LINK_TIMEOUT_MS,
    );
    socket.on("message", (data: Buffer) => {
      silence.refresh();
      const message = decodeMessage<Clocked<InboundMessage>>(data);
      if (message === undefined) {
        socket.terminate();
        return;
      }
      this.#options.clock.observe(message.clock);
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
