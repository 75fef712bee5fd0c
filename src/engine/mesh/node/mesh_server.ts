/** The links that other nodes open to this one. */
import { createServer } from "node:http";
import type { Server } from "node:http";
import { WebSocketServer } from "ws";
import type { WebSocket } from "ws";
import { listen } from "../../../base/node/listen.ts";
import type { ListenAddress } from "../../../base/node/listen.ts";
import { startTicks } from "../../../base/node/shared_ticks.ts";
import type { LoadReported, MeshFrame } from "../common/frames.ts";
import { TransitDelay } from "../common/transit_delay.ts";
import { decodeMessage, FrameWriter } from "./frame_writer.ts";
import { MAX_MESSAGE_BYTES } from "./mesh_client.ts";

/** What the server is built from. */
export interface MeshServerOptions {
  readonly address: ListenAddress;
  /** `delayMs`: how much longer than usual the message was on its way. */
  readonly onFrames: (
    link: number,
    frames: readonly MeshFrame[],
    delayMs: number,
  ) => void;
  readonly onClosed: (link: number) => void;
  /** Whether calls of a link are in progress: it must not fall silent. */
  readonly hasCalls: (link: number) => boolean;
  /** How often the load is said on links in use, in milliseconds. */
  readonly reportMs: number;
  /** Made anew for each report. */
  readonly createReport: () => LoadReported;
  readonly readClock: () => number;
}

interface AcceptedLink {
  readonly socket: WebSocket;
  readonly writer: FrameWriter;
  readonly transitDelay: TransitDelay;
  /** Whether it was heard since the last report. */
  hasReceived: boolean;
  /** Whether an answer, which has the load too, was sent since then. */
  hasSentLoad: boolean;
}

/** A link whose peer takes nothing is closed beyond this many bytes. */
const MAX_BUFFERED_BYTES = 33_554_432;

/** Accepts links and tells them apart by number. */
export class MeshServer implements AsyncDisposable {
  readonly #options: MeshServerOptions;
  readonly #http: Server;
  readonly #sockets: WebSocketServer;
  readonly #links = new Map<number, AcceptedLink>();
  #nextLink = 1;
  #stopReports = () => {};

  constructor(options: MeshServerOptions) {
    this.#options = options;
    this.#http = createServer();
    this.#sockets = new WebSocketServer({
      server: this.#http,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
    this.#sockets.on("connection", (socket) => this.#accept(socket));
  }

  /** Opens the listener and starts to report. */
  async open(): Promise<void> {
    await listen(this.#http, this.#options.address);
    const { reportMs } = this.#options;
    this.#stopReports = startTicks(reportMs, () => this.report());
  }

  /** Sends a frame; a closed link is passed over, a clogged one closed. */
  send(link: number, frame: MeshFrame): void {
    const accepted = this.#links.get(link);
    if (accepted === undefined) {
      return;
    }
    if (accepted.writer.bufferedBytes > MAX_BUFFERED_BYTES) {
      accepted.socket.terminate();
      return;
    }
    accepted.hasSentLoad = true;
    accepted.writer.write(frame);
  }

  /** Says the load on links in use that have not heard it otherwise. */
  report(): void {
    const report = this.#options.createReport();
    const hasReports = (report.below?.length ?? 0) > 0 ||
      report.callers.length > 0;
    for (const [number, link] of this.#links) {
      const isInUse = link.hasReceived || this.#options.hasCalls(number);
      // The answers of a busy link say the load: a report would wake both ends
      // for nothing, ten times a second and link.
      if (isInUse && (hasReports || !link.hasSentLoad)) {
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
