/** Addresses of and links to the other control replicas, by replica id. */
import type { ClusterMessage } from "../engine/link/common/cluster_messages.ts";
import type { LinkServer } from "../engine/link/node/link_server.ts";
import type { ReplicaLinks } from "../engine/link/node/replica_links.ts";
import type { Cluster } from "../engine/control/common/replication_state.ts";
import type { ControlSettings } from "./settings.ts";

/** Id and address of a control replica, as the settings name them. */
export interface ReplicaAddress {
  readonly id: string;
  /** `host:port` of its link listener. */
  readonly link: string;
}

/**
 * Lists the other replicas that the settings name. With discovery the settings
 * hold only link addresses, so the address serves as the id.
 */
export function listPeers(
  settings: ControlSettings,
): readonly ReplicaAddress[] {
  const { discovery } = settings;
  if (discovery !== undefined) {
    return discovery.seeds
      .filter((link) => link !== settings.listen.link)
      .map((link) => ({ id: link, link }));
  }
  const { voters = [], learners = [] } = settings.cluster ?? {};
  return [...voters, ...learners].filter(({ id }) => id !== settings.id);
}

/**
 * Creates the lookup from a replica's id to its link address. With discovery
 * the id is the link address itself.
 */
export function createAddressFinder(
  settings: ControlSettings,
): (peer: string) => string | undefined {
  if (settings.discovery !== undefined) {
    return (peer) => peer;
  }
  const replicas = listPeers(settings);
  const addresses = new Map(replicas.map(({ id, link }) => [id, link]));
  return (peer) => addresses.get(peer);
}

/** Creates the initial cluster configuration from the settings. */
export function createCluster(settings: ControlSettings): Cluster {
  const peers = listPeers(settings).map(({ id }) => id);
  const { discovery, cluster, id, listen } = settings;
  if (discovery === undefined) {
    const voters = cluster?.voters.map((voter) => voter.id) ?? [id];
    return { self: id, voters, peers };
  }
  return {
    self: listen.link,
    voters: discovery.is_first_start ? discovery.seeds : [],
    peers,
    discovery: {
      maxVoters: discovery.max_voters,
      replaceAfterMs: discovery.replace_after_ms,
      confirmEveryMs: discovery.confirm_every_ms,
      confirmValidMs: discovery.confirm_valid_ms,
    },
  };
}

/**
 * Sends messages to other replicas: on the link that this replica opened, or
 * else on the link that it last accepted from the peer.
 */
export class ClusterLinks {
  readonly #dialled: ReplicaLinks;
  readonly #accepted: LinkServer;
  readonly #findAddress: (peer: string) => string | undefined;
  /** Ids of the links last accepted from replicas, by replica id. */
  readonly #linkIds = new Map<string, number>();

  constructor(options: {
    readonly dialled: ReplicaLinks;
    readonly accepted: LinkServer;
    /** Returns the link address of a replica; undefined if it is unknown. */
    readonly findAddress: (peer: string) => string | undefined;
  }) {
    this.#dialled = options.dialled;
    this.#accepted = options.accepted;
    this.#findAddress = options.findAddress;
  }

  /** Records the accepted link on which a replica introduced itself. */
  observe(message: ClusterMessage, linkId: number): void {
    if (message.type === "ReplicaHello") {
      this.#linkIds.set(message.id, linkId);
    }
  }

  /** Sends to a replica; drops the message if no link to it is known. */
  send(peer: string, message: ClusterMessage): void {
    const address = this.#findAddress(peer);
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
