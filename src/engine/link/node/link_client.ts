/** Client end of a link: performs the effects of the link reducer. */
import { WebSocket } from "ws";
import { EventLoop } from "../../../base/node/event_loop.ts";
import { startTicks } from "../../../base/node/shared_ticks.ts";
import { readSteadyMs } from "../../../base/node/steady_clock.ts";
import { decodeMessage } from "../../../base/node/message_codec.ts";
import { createSocketOptions } from "../../../base/node/tls.ts";
import type { TlsKeys } from "../../../base/node/tls.ts";
import type { ProcessClock } from "../../telemetry/common/process_clock.ts";
import { encodeClocked } from "./clocked_message.ts";
import type { Clocked } from "./clocked_message.ts";
import { HEARTBEAT_INTERVAL_MS } from "../common/link_messages.ts";
import {
  CONNECT_TIMEOUT_MS,
  createLink,
  reduceLink,
} from "../common/link_reducer.ts";
import type {
  LinkEffect,
  LinkEvent,
  LinkState,
  LinkTiming,
} from "../common/link_reducer.ts";

interface TypedMessage {
  readonly type: string;
}

/** Options of a link client. */
export interface LinkClientOptions<
  In extends TypedMessage,
  Out extends TypedMessage,
> {
  /** Id of this process; seeds the jitter. */
  readonly id: string;
  /** Certificate shown to the replicas; links are not encrypted without. */
  readonly tls?: TlsKeys | undefined;
  /** `host:port` of the control replicas, nearest first. */
  readonly replicas: readonly string[];
  readonly onMessage: (message: In, replica: string) => void;
  /** Called when a link opens, to announce and subscribe again. */
  readonly onOpen: (replica: string, linkNumber: number) => void;
  readonly onClose: (replica: string) => void;
  /** Returns whether the sender has a quorum; undefined if not stated. */
  readonly readConfirmed: (message: In) => boolean | undefined;
  /** Undefined if other messages are frequent enough to prevent a timeout. */
  readonly createHeartbeat: (() => Out) | undefined;
  /** Sent with every message, and updated by received ones. */
  readonly clock?: ProcessClock | undefined;
  readonly pace?: LinkTiming | undefined;
}

/** Message payloads of all links of a client, without framing overhead. */
export interface LinkTraffic {
  readonly sentBytes: number;
  readonly sentCount: number;
  readonly receivedBytes: number;
  readonly receivedCount: number;
}

const TICK_MS = 100;
/** Time limit of the closing handshake on disposal. */
const CLOSE_TIMEOUT_MS = 250;

/** Keeps one link open, and fails over to another replica. */
export class LinkClient<In extends TypedMessage, Out extends TypedMessage>
  implements AsyncDisposable {
  readonly #options: LinkClientOptions<In, Out>;
  readonly #loop: EventLoop<LinkState, LinkEvent, LinkEffect>;
  #socket: WebSocket | undefined;
  #stopTicks = () => {};
  #isClosed = false;
  #sentBytes = 0;
  #sentCount = 0;
  #receivedBytes = 0;
  #receivedCount = 0;

  constructor(options: LinkClientOptions<In, Out>) {
    this.#options = options;
    this.#loop = new EventLoop({
      initial: createLink(options.id, options.replicas, options.pace),
      reduce: reduceLink,
      readClock: readSteadyMs,
      perform: (effect) => this.#perform(effect),
    });
  }

  /** Starts connecting. */
  open(): void {
    this.#stopTicks = startTicks(
      TICK_MS,
      () => this.#loop.dispatch({ type: "Ticked" }),
    );
    this.#loop.dispatch({ type: "Ticked" });
  }

  /**
   * Receives the list of replicas of a replica. One that is confirmed as current
   * replaces the replicas that links are opened to. Another one only adds to
   * them: a replica behind a network partition lists its own side only, and a
   * node that forgot the other side would never leave it.
   */
  receiveReplicas(replicas: readonly string[], isConfirmed: boolean): void {
    if (isConfirmed) {
      this.#loop.dispatch({ type: "ReplicasLearned", replicas });
    } else {
      this.addReplicas(replicas);
    }
  }

  /** Adds replicas to those that links are opened to. */
  addReplicas(replicas: readonly string[]): void {
    const { replicas: known } = this.#loop.state;
    this.#loop.dispatch({
      type: "ReplicasLearned",
      replicas: [...new Set([...known, ...replicas])],
    });
  }

  /** Whether a link is open. */
  get isOpen(): boolean {
    return this.#socket?.readyState === WebSocket.OPEN;
  }

  /** Sends if a link is open, else drops: `onOpen` sends the state again. */
  send(message: Out): void {
    this.sendBytes(encodeClocked(message, this.#options.clock));
  }

  /** Sends an encoded message if a link is open, else drops it. */
  sendBytes(bytes: Uint8Array): void {
    if (this.isOpen) {
      this.#sentBytes += bytes.length;
      this.#sentCount += 1;
      this.#socket?.send(bytes);
    }
  }

  /** Returns the traffic of all links since the client was created. */
  readTraffic(): LinkTraffic {
    return {
      sentBytes: this.#sentBytes,
      sentCount: this.#sentCount,
      receivedBytes: this.#receivedBytes,
      receivedCount: this.#receivedCount,
    };
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.#isClosed = true;
    this.#stopTicks();
    const socket = this.#socket;
    if (socket === undefined || socket.readyState === WebSocket.CLOSED) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      socket.on("close", () => resolve());
      socket.close();
      setTimeout(() => socket.terminate(), CLOSE_TIMEOUT_MS).unref();
    });
  }

  #perform(effect: LinkEffect): void {
    switch (effect.type) {
      case "OpenLink":
        this.#connect(effect.replica, effect.linkNumber);
        return;
      case "CloseLink":
        this.#socket?.terminate();
        return;
    }
  }

  #connect(replica: string, linkNumber: number): void {
    if (this.#isClosed) {
      return;
    }
    this.#socket?.terminate();
    const { tls } = this.#options;
    const scheme = tls === undefined ? "ws" : "wss";
    const socket = new WebSocket(`${scheme}://${replica}/`, {
      ...createSocketOptions(tls),
      handshakeTimeout: this.#options.pace?.connectMs ?? CONNECT_TIMEOUT_MS,
      perMessageDeflate: false,
    });
    this.#socket = socket;
    this.#attachHandlers(socket, replica, linkNumber);
  }

  #attachHandlers(
    socket: WebSocket,
    replica: string,
    linkNumber: number,
  ): void {
    const { onOpen, onClose, createHeartbeat } = this.#options;
    const stopHeartbeats = createHeartbeat === undefined
      ? () => {}
      : startTicks(HEARTBEAT_INTERVAL_MS, () => this.send(createHeartbeat()));
    socket.on("open", () => {
      this.#loop.dispatch({ type: "LinkOpened", linkNumber });
      onOpen(replica, linkNumber);
    });
    socket.on("message", (data: Buffer) => {
      if (socket === this.#socket) {
        this.#receive(data, replica, linkNumber);
      }
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => {
      stopHeartbeats();
      this.#loop.dispatch({ type: "LinkClosed", linkNumber });
      if (socket === this.#socket) {
        onClose(replica);
      }
    });
  }

  #receive(data: Buffer, replica: string, linkNumber: number): void {
    this.#receivedBytes += data.length;
    this.#receivedCount += 1;
    const message = decodeMessage<Clocked<In>>(data);
    if (message !== undefined) {
      this.#options.clock?.observe(message.clock);
      const isConfirmed = this.#options.readConfirmed(message);
      this.#loop.dispatch({ type: "MessageReceived", linkNumber, isConfirmed });
      this.#options.onMessage(message, replica);
    }
  }
}
