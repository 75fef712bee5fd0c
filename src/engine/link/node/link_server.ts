/** Server end of links: accepts them from nodes and other replicas. */
import type { Server } from "node:http";
import { WebSocketServer } from "ws";
import type { WebSocket } from "ws";
import { listen, type ListenAddress } from "../../../base/node/listen.ts";
import {
  refuseMalformed,
  refuseWithoutUpgrade,
  REQUEST_LIMITS,
} from "../../../base/node/read_limits.ts";
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

/** Options of a link server. */
export interface LinkServerOptions {
  readonly address: ListenAddress;
  /** If set, clients need a certificate of the authority. */
  readonly tls?: TlsKeys | undefined;
  readonly onMessage: (linkId: number, message: InboundMessage) => void;
  readonly onClose: (linkId: number) => void;
  /** Sent with every message, and updated by received ones. */
  readonly clock: ProcessClock;
  /** Time without a message after which a link is closed. */
  readonly silenceMs?: number | undefined;
}

const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Unsent bytes of a link above which it is closed. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Accepts links and identifies them by number. */
export class LinkServer implements AsyncDisposable {
  readonly #options: LinkServerOptions;
  readonly #http: Server;
  readonly #sockets: WebSocketServer;
  readonly #links = new Map<number, WebSocket>();
  #nextLinkId = 1;
  #lastEncoded:
    | { readonly message: OutboundMessage; readonly bytes: Uint8Array }
    | undefined;

  constructor(options: LinkServerOptions) {
    this.#options = options;
    this.#http = createServer(
      { ...REQUEST_LIMITS, tls: options.tls, isMutual: true },
      refuseWithoutUpgrade,
    );
    refuseMalformed(this.#http);
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

  /** Sends to one link. Ignores closed links; closes congested ones. */
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

  /** Encodes a message once when it is sent to many links in a row. */
  #encode(message: OutboundMessage): Uint8Array {
    if (this.#lastEncoded?.message !== message) {
      const bytes = encodeClocked(message, this.#options.clock);
      this.#lastEncoded = { message, bytes };
    }
    return this.#lastEncoded.bytes;
  }

  #accept(socket: WebSocket): void {
    const linkId = this.#nextLinkId++;
    this.#links.set(linkId, socket);
    const timeout = setTimeout(
      () => socket.terminate(),
      this.#options.silenceMs ?? LINK_TIMEOUT_MS,
    );
    socket.on("message", (data: Buffer) => {
      timeout.refresh();
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
      clearTimeout(timeout);
      this.#links.delete(linkId);
      this.#options.onClose(linkId);
    });
  }
}
