/** Links that a control replica opens to the other replicas. */
import type { TlsKeys } from "../../../base/node/tls.ts";
import type { ProcessClock } from "../../telemetry/common/process_clock.ts";
import type { PresenceMessage } from "../../membership/common/presence_messages.ts";
import type { ClusterMessage } from "../common/cluster_messages.ts";
import type { OutboundMessage } from "../common/link_messages.ts";
import { encodeClocked } from "./clocked_message.ts";
import type { LinkTiming } from "../common/link_reducer.ts";
import { LinkClient } from "./link_client.ts";

/** A message from one replica to another. */
export type ReplicaMessage = PresenceMessage | ClusterMessage;

/** Options of the links between replicas. */
export interface ReplicaLinksOptions {
  /** Id of this replica. */
  readonly id: string;
  readonly tls?: TlsKeys | undefined;
  /** `host:port` of the other replicas' link listeners. */
  readonly replicas: readonly string[];
  readonly onMessage: (message: OutboundMessage, replica: string) => void;
  readonly clock: ProcessClock;
  readonly pace?: LinkTiming | undefined;
}

type ReplicaLink = LinkClient<OutboundMessage, ReplicaMessage>;

/** Keeps one link to every other replica. */
export class ReplicaLinks implements AsyncDisposable {
  readonly #options: ReplicaLinksOptions;
  readonly #clients = new Map<string, ReplicaLink>();

  constructor(options: ReplicaLinksOptions) {
    this.#options = options;
  }

  /** Opens the links to all configured replicas. */
  open(): void {
    this.#options.replicas.forEach((replica) => this.add(replica));
  }

  /** Opens a link to one more replica, unless there is one. */
  add(replica: string): void {
    if (!this.#clients.has(replica)) {
      const client = this.#createClient(replica);
      this.#clients.set(replica, client);
      client.open();
    }
  }

  /** Closes the link to a replica. */
  remove(replica: string): void {
    const client = this.#clients.get(replica);
    this.#clients.delete(replica);
    client?.[Symbol.asyncDispose]();
  }

  /** Sends to all linked replicas; encodes the message once. */
  sendAll(message: PresenceMessage): void {
    const bytes = encodeClocked(message, this.#options.clock);
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
    const clients = [...this.#clients.values()];
    this.#clients.clear();
    await Promise.all(clients.map((client) => client[Symbol.asyncDispose]()));
  }

  #createClient(replica: string): ReplicaLink {
    const { id, tls, onMessage, clock, pace } = this.#options;
    return new LinkClient<OutboundMessage, ReplicaMessage>({
      id,
      tls,
      replicas: [replica],
      onMessage,
      onOpen: () => {},
      onClose: () => {},
      readConfirmed: () => undefined,
      createHeartbeat: undefined,
      clock,
      pace,
    });
  }
}
