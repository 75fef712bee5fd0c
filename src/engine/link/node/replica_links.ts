/** The links that a control replica opens to the others. */
import { DisposalStack } from "../../../base/common/disposal.ts";
import type { TlsKeys } from "../../../base/node/tls.ts";
import type { ProcessClock } from "../../telemetry/common/process_clock.ts";
import type { PresenceMessage } from "../../membership/common/presence_messages.ts";
import type { ClusterMessage } from "../common/cluster_messages.ts";
import type { OutboundMessage } from "../common/link_messages.ts";
import { encodeClocked } from "./clocked_message.ts";
import { LinkClient } from "./link_client.ts";

/** What replicas say to each other. */
export type ReplicaMessage = PresenceMessage | ClusterMessage;

/** What the links are built from. */
export interface ReplicaLinksOptions {
  /** Id of this replica. */
  readonly id: string;
  readonly tls?: TlsKeys | undefined;
  /** `host:port` of the other replicas' link listeners. */
  readonly replicas: readonly string[];
  readonly onMessage: (message: OutboundMessage, replica: string) => void;
  readonly clock: ProcessClock;
}

/** Holds one link to every other replica. */
export class ReplicaLinks implements AsyncDisposable {
  readonly #owned = new DisposalStack();
  readonly #clock: ProcessClock;
  readonly #clients: ReadonlyMap<
    string,
    LinkClient<OutboundMessage, ReplicaMessage>
  >;

  constructor(options: ReplicaLinksOptions) {
    const { id, tls, replicas, onMessage, clock } = options;
    this.#clock = clock;
    this.#clients = new Map(replicas.map((replica) => [
      replica,
      this.#owned.use(
        new LinkClient<OutboundMessage, ReplicaMessage>({
          id,
          tls,
          replicas: [replica],
          onMessage,
          onOpen: () => {},
          onClose: () => {},
          readConfirmed: () => undefined,
          createHeartbeat: undefined,
          clock,
        }),
      ),
    ]));
  }

  /** Starts connecting. */
  open(): void {
    for (const client of this.#clients.values()) {
      client.open();
    }
  }

  /** Sends to every replica that is linked; encoded once. */
  sendAll(message: PresenceMessage): void {
    const bytes = encodeClocked(message, this.#clock);
    for (const client of this.#clients.values()) {
      client.sendBytes(bytes);
    }
  }

  /** Whether the link to a replica is open. */
  isOpen(replica: string): boolean {
    return this.#clients.get(replica)?.isOpen === true;
  }

  /** Sends to one replica by its address. */
  send(replica: string, message: ReplicaMessage): void {
    this.#clients.get(replica)?.send(message);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#owned[Symbol.asyncDispose]();
  }
}
