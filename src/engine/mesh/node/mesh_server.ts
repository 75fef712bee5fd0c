/** Links that other nodes open to this one. */
import { createServer } from "node:http";
import type { Server } from "node:http";
import { WebSocketServer } from "ws";
import type { WebSocket } from "ws";
import { listen } from "../../../base/node/listen.ts";
import type { ListenAddress } from "../../../base/node/listen.ts";
import {
  refuseMalformed,
  refuseWithoutUpgrade,
  REQUEST_LIMITS,
} from "../../../base/node/read_limits.ts";
import { startTicks } from "../../../base/node/shared_ticks.ts";
import type { LoadReported, MeshFrame } from "../common/frames.ts";
import { TransitDelay } from "../common/transit_delay.ts";
import { decodeMessage, FrameWriter } from "./frame_writer.ts";
import { MAX_MESSAGE_BYTES } from "./mesh_client.ts";

/** What the server depends on. */
export interface MeshServerOptions {
  readonly address: ListenAddress;
  /**
   * Called with the frames of a message, which was `delayMs` longer in transit
   * than usual.
   */
  readonly onFrames: (
    link: number,
    frames: readonly MeshFrame[],
    delayMs: number,
  ) => void;
  readonly onClosed: (link: number) => void;
  /** Whether calls of a link are in progress, which keep the reports going. */
  readonly hasCalls: (link: number) => boolean;
  /** Interval of load reports on links in use, in milliseconds. */
  readonly reportIntervalMs: number;
  /** Creates the next report, sent on all links in use. */
  readonly createReport: () => LoadReported;
  /** Bytes that all peers together may leave unread. */
  readonly maxBufferedBytes: number;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
}

interface AcceptedLink {
  readonly socket: WebSocket;
  readonly writer: FrameWriter;
  readonly transitDelay: TransitDelay;
  /** Whether a message was received since the last report, or it is new. */
  hasReceived: boolean;
  /** Whether an answer, which carries the load, was sent since then. */
  hasSentLoad: boolean;
}

/** A link with fewer unread bytes is never closed for them. */
const MIN_CONGESTED_BYTES = 1_048_576;

/** Accepts links, and identifies them by number. */
export class MeshServer implements AsyncDisposable {
  readonly #options: MeshServerOptions;
  readonly #http: Server;
  readonly #sockets: WebSocketServer;
  readonly #links = new Map<number, AcceptedLink>();
  #nextLink = 1;
  #stopReports = () => {};

  constructor(options: MeshServerOptions) {
    this.#options = options;
    this.#http = createServer(REQUEST_LIMITS, refuseWithoutUpgrade);
    refuseMalformed(this.#http);
    this.#sockets = new WebSocketServer({
      server: this.#http,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.#sockets.on("connection", (socket) => this.#accept(socket));
  }

  /** Opens the listener, and starts the periodic reports. */
  async open(): Promise<void> {
    await listen(this.#http, this.#options.address);
    const { reportIntervalMs } = this.#options;
    this.#stopReports = startTicks(reportIntervalMs, () => this.report());
  }

  /** Sends a frame; ignored on a closed link, and closes a congested one. */
  send(link: number, frame: MeshFrame): void {
    const accepted = this.#links.get(link);
    if (accepted === undefined) {
      return;
    }
    if (this.#isTooCongested(accepted)) {
      accepted.socket.terminate();
      return;
    }
    accepted.hasSentLoad = true;
    accepted.writer.write(frame);
  }

  /** Sends a frame on all links. */
  broadcast(frame: MeshFrame): void {
    this.#links.forEach(({ writer }) => writer.write(frame));
  }

  /**
   * Sends the report on links in use. One of the load alone is not sent on
   * links whose answers have carried the load.
   */
  report(): void {
    const report = this.#options.createReport();
    const hasMoreThanLoad = (report.below?.length ?? 0) > 0 ||
      report.callers.length > 0;
    for (const [number, link] of this.#links) {
      const isInUse = link.hasReceived || this.#options.hasCalls(number);
      // The answers on a busy link carry the load: reports would wake both ends
      // for nothing, ten times a second for each link.
      if (isInUse && (hasMoreThanLoad || !link.hasSentLoad)) {
        link.writer.write(report);
      }
      link.hasReceived = false;
      link.hasSentLoad = false;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#stopReports();
    for (const { socket } of this.#links.values()) {
      socket.terminate();
    }
    this.#sockets.close();
    this.#http.closeAllConnections();
    await new Promise<void>((resolve) => this.#http.close(() => resolve()));
  }

  /** Whether a link takes a large part of the bytes that may be unread. */
  #isTooCongested({ writer }: AcceptedLink): boolean {
    const { bufferedBytes } = writer;
    if (bufferedBytes <= MIN_CONGESTED_BYTES) {
      return false;
    }
    const all = [...this.#links.values()]
      .map((link) => link.writer.bufferedBytes);
    const total = all.reduce((sum, bytes) => sum + bytes, 0);
    return total > this.#options.maxBufferedBytes &&
      bufferedBytes >= Math.max(...all) / 2;
  }

  #accept(socket: WebSocket): void {
    const number = this.#nextLink++;
    const link = {
      socket,
      writer: new FrameWriter(socket, this.#options.readClock),
      transitDelay: new TransitDelay(),
      hasReceived: true,
      hasSentLoad: false,
    };
    this.#links.set(number, link);
    socket.on("message", (data: Buffer) => {
      link.hasReceived = true;
      const nowMs = this.#options.readClock();
      let delayMs = 0;
      const frames = decodeMessage(data, (sentAtMs) => {
        delayMs = link.transitDelay.measure(sentAtMs, nowMs);
        return nowMs - delayMs;
      });
      if (frames === undefined) {
        socket.terminate();
        return;
      }
      this.#options.onFrames(number, frames, delayMs);
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => {
      this.#links.delete(number);
      this.#options.onClosed(number);
    });
  }
}
