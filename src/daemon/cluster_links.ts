/** Ways to the other control replicas, by their ids in the settings. */
import type { ClusterMessage } from "../engine/link/common/cluster_messages.ts";
import type { LinkServer } from "../engine/link/node/link_server.ts";
import type { ReplicaLinks } from "../engine/link/node/replica_links.ts";
import type { ControlSettings } from "./settings.ts";

/** A replica in the settings. */
export interface ReplicaPlace {
  readonly id: string;
  /** `host:port` of its link listener. */
  readonly link: string;
}

/** Lists the other replicas that the settings name. */
export function listPeers(settings: ControlSettings): readonly ReplicaPlace[] {
  const { voters = [], learners = [] } = settings.cluster ?? {};
  return [...voters, ...learners].filter(({ id }) => id !== settings.id);
}

/** Sends on the link that this replica opened, else on one it accepted. */
export class ClusterLinks {
  readonly #dialled: ReplicaLinks;
  readonly #accepted: LinkServer;
  readonly #addresses: ReadonlyMap<string, string>;
  readonly #linkIds = new Map<string, number>();

  constructor(options: {
    readonly dialled: ReplicaLinks;
    readonly accepted: LinkServer;
    readonly peers: readonly ReplicaPlace[];
  }) {
    this.#dialled = options.dialled;
    this.#accepted = options.accepted;
    this.#addresses = new Map(options.peers.map(({ id, link }) => [id, link]));
  }

  /** Notes on which accepted link a replica is heard. */
  observe(message: ClusterMessage, linkId: number): void {
    if (message.type === "ReplicaHello") {
      this.#linkIds.set(message.id, linkId);
    }
  }

  /** Sends to a replica; one that isn't linked is passed over. */
  send(peer: string, message: ClusterMessage): void {
    const address = this.#addresses.get(peer);
    if (address !== undefined && this.#dialled.isOpen(address)) {
      this.#dialled.send(address, message);
      return;
    }
    const linkId = this.#linkIds.get(peer);
    if (linkId !== undefined) {
      this.#accepted.send(linkId, message);
    }
  }
}
