/** Ways to the other control replicas, by their ids in the settings. */
import type { ClusterMessage } from "../engine/link/common/cluster_messages.ts";
import type { LinkServer } from "../engine/link/node/link_server.ts";
import type { ReplicaLinks } from "../engine/link/node/replica_links.ts";
import type { Cluster } from "../engine/control/common/replication_state.ts";
import type { ControlSettings } from "./settings.ts";

/** A replica in the settings. */
export interface ReplicaPlace {
  readonly id: string;
  /** `host:port` of its link listener. */
  readonly link: string;
}

/** Lists the other replicas that the settings name. */
export function listPeers(settings: ControlSettings): readonly ReplicaPlace[] {
  const { discovery } = settings;
  if (discovery !== undefined) {
    return discovery.seeds
      .filter((link) => link !== settings.listen.link)
      .map((link) => ({ id: link, link }));
  }
  const { voters = [], learners = [] } = settings.cluster ?? {};
  return [...voters, ...learners].filter(({ id }) => id !== settings.id);
}

/** Where replicas find each other, an id is a link address. */
export function createAddressFinder(
  settings: ControlSettings,
): (peer: string) => string | undefined {
  if (settings.discovery !== undefined) {
    return (peer) => peer;
  }
  const places = listPeers(settings);
  const addresses = new Map(places.map(({ id, link }) => [id, link]));
  return (peer) => addresses.get(peer);
}

/** Creates what the replica knows of the others before it hears them. */
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

/** Sends on the link that this replica opened, else on one it accepted. */
export class ClusterLinks {
  readonly #dialled: ReplicaLinks;
  readonly #accepted: LinkServer;
  readonly #findAddress: (peer: string) => string | undefined;
  readonly #linkIds = new Map<string, number>();

  constructor(options: {
    readonly dialled: ReplicaLinks;
    readonly accepted: LinkServer;
    /** Where the settings place a replica. */
    readonly findAddress: (peer: string) => string | undefined;
  }) {
    this.#dialled = options.dialled;
    this.#accepted = options.accepted;
    this.#findAddress = options.findAddress;
  }

  /** Notes on which accepted link a replica is heard. */
  observe(message: ClusterMessage, linkId: number): void {
    if (message.type === "ReplicaHello") {
      this.#linkIds.set(message.id, linkId);
    }
  }

  /** Sends to a replica; one that isn't linked is passed over. */
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
