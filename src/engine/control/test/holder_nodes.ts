/** Nodes of one service in memory that are linked to control replicas. */
import type { HolderSet } from "../../claims/common/claim_types.ts";
import {
  answerClaimMessage,
  INITIAL_NODE_CLAIMS,
  receiveReply,
  receiveSets,
  tickClaims,
} from "../../claims/common/node_claims.ts";
import type {
  NodeClaims,
  NodeClaimStep,
} from "../../claims/common/node_claims.ts";
import type { OutboundMessage } from "../../link/common/link_messages.ts";
import { createAnnouncement } from "../../membership/test/replicas.ts";
import type { Replicas } from "./replicas.ts";

const HEARTBEAT_INTERVAL_MS = 1_000;
const CLAIM_TICK_INTERVAL_MS = 100;

interface Node {
  readonly nodeId: string;
  readonly incarnation: number;
  replica: string;
  linkId: number;
  linkNumber: number;
  claims: NodeClaims;
}

/**
 * Runs the claims reducer of each node; requests between nodes have no delay.
 */
export class HolderNodes {
  /** All sets sent by any replica, as JSON, by epoch. */
  readonly publishedSets = new Map<number, Set<string>>();
  readonly #replicas: Replicas;
  readonly #nodes = new Map<string, Node>();
  #nextLink = 1;

  constructor(replicas: Replicas) {
    this.#replicas = replicas;
    replicas.onTick = () => this.#tick();
    replicas.onLink = (id, linkId, message) =>
      this.#receive(id, linkId, message);
  }

  /** Starts or restarts a node, linked to a replica. */
  start(nodeId: string, replica: string): void {
    this.#nodes.set(nodeId, {
      nodeId,
      incarnation: this.#replicas.nowMs,
      replica,
      linkId: 0,
      linkNumber: 0,
      claims: INITIAL_NODE_CLAIMS,
    });
    this.relink(nodeId, replica);
  }

  /** Links a node to a running replica. */
  relink(nodeId: string, replica: string): void {
    const node = this.#nodes.get(nodeId)!;
    Object.assign(node, { replica, linkId: this.#nextLink++ });
    node.linkNumber += 1;
    const { incarnation, linkNumber } = node;
    this.#replicas.receiveNodeMessage(replica, node.linkId, {
      type: "Announce",
      announcement: {
        ...createAnnouncement(nodeId),
        incarnation,
        ingress: nodeId,
      },
      linkNumber,
      tableVersion: 0,
    });
  }

  /** Kills a node. */
  kill(nodeId: string): void {
    this.#nodes.delete(nodeId);
  }

  /** Gets the epoch of the active set at a node; 0 without one. */
  getEpoch(nodeId: string): number {
    return this.#nodes.get(nodeId)?.claims.sets?.active.epoch ?? 0;
  }

  #tick(): void {
    const { nowMs } = this.#replicas;
    for (const node of this.#nodes.values()) {
      if (nowMs % HEARTBEAT_INTERVAL_MS === 0) {
        const clock = { wallMs: nowMs, counter: 0 };
        const message = { type: "Heartbeat", tableVersion: 0, clock } as const;
        this.#replicas.receiveNodeMessage(node.replica, node.linkId, message);
      }
      if (nowMs % CLAIM_TICK_INTERVAL_MS === 0) {
        this.#apply(node, tickClaims(node.claims, createSelf(node), nowMs));
      }
    }
  }

  #receive(id: string, linkId: number, message: OutboundMessage): void {
    if (message.type !== "HolderSetUpdate") {
      return;
    }
    const { active, proposed } = message.sets;
    [active, proposed].forEach((set) => set && this.#recordSet(set));
    const node = [...this.#nodes.values()].find((one) =>
      one.replica === id && one.linkId === linkId
    );
    if (node !== undefined) {
      const { claims } = node;
      this.#apply(node, receiveSets(claims, message.sets, createSelf(node)));
    }
  }

  #recordSet(set: HolderSet): void {
    const sets = this.publishedSets.get(set.epoch) ?? new Set();
    this.publishedSets.set(set.epoch, sets.add(JSON.stringify(set)));
  }

  #apply(node: Node, step: NodeClaimStep): void {
    node.claims = step.state;
    for (const effect of step.effects) {
      if (effect.type === "ReportCopied") {
        this.#replicas.receiveNodeMessage(node.replica, node.linkId, effect);
      } else if (effect.type === "AskPeer") {
        const peer = this.#nodes.get(effect.address);
        const { incarnation } = peer ?? node;
        const at = { incarnation, nowMs: this.#replicas.nowMs };
        const answer = peer &&
          answerClaimMessage(peer.claims, effect.message, at);
        Object.assign(peer ?? {}, { claims: answer?.claims });
        const { requestId } = effect;
        this.#apply(node, receiveReply(node.claims, requestId, answer?.reply));
      }
    }
  }
}

function createSelf({ nodeId, incarnation }: Node) {
  return { nodeId, incarnation, ingress: nodeId };
}
