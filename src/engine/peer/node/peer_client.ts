/** HTTP client for peer messages. */
import { Agent } from "undici";
import {
  decodeMessage,
  encodeMessage,
} from "../../../base/node/message_codec.ts";
import { createConnector, formatOrigin } from "../../../base/node/tls.ts";
import type { Connector, TlsKeys } from "../../../base/node/tls.ts";
import {
  CLOCK_HEADER,
  encodeClock,
} from "../../telemetry/common/process_clock.ts";
import type { ProcessClock } from "../../telemetry/common/process_clock.ts";
import { PEER_PATH } from "../common/peer_messages.ts";
import type { PeerMessage, PeerReply } from "../common/peer_messages.ts";

/** A message to send to one peer. */
export interface PeerRequest {
  /** `host:port` of the other node's ingress. */
  readonly address: string;
  readonly message: PeerMessage;
  /** Time limit of the exchange, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Whether to open a new connection for this message instead of using a pooled
   * one.
   */
  readonly isFresh: boolean;
}

/** Owns a pool of connections to the peers. */
export class PeerClient implements AsyncDisposable {
  readonly #isTls: boolean;
  readonly #connect: Connector;
  readonly #agent: Agent;
  readonly #clock: ProcessClock;

  /** With `tls`, both sides authenticate by certificates of the authority. */
  constructor(options: {
    readonly tls: TlsKeys | undefined;
    readonly clock: ProcessClock;
  }) {
    const { tls, clock } = options;
    this.#clock = clock;
    this.#isTls = tls !== undefined;
    this.#connect = createConnector(tls);
    const connect = this.#connect;
    this.#agent = new Agent({ connections: 4, pipelining: 1, connect });
  }

  /** Sends a message; undefined without a valid answer in time. */
  async send(request: PeerRequest): Promise<PeerReply | undefined> {
    const agent = request.isFresh
      ? new Agent({ connect: this.#connect })
      : this.#agent;
    try {
      const answer = await agent.request({
        origin: formatOrigin(request.address, this.#isTls),
        path: PEER_PATH,
        method: "POST",
        headers: { [CLOCK_HEADER]: encodeClock(this.#clock.read()) },
        body: encodeMessage(request.message),
        signal: AbortSignal.timeout(request.timeoutMs),
      });
      this.#clock.observe(answer.headers[CLOCK_HEADER]);
      const bytes = new Uint8Array(await answer.body.arrayBuffer());
      return answer.statusCode === 200
        ? decodeMessage<PeerReply>(bytes)
        : undefined;
    } catch {
      return undefined;
    } finally {
      if (request.isFresh) {
        await agent.destroy();
      }
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#agent.destroy();
  }
}
