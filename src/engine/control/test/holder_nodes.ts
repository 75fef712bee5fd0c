/** Nodes of one service in memory, linked to control replicas. */
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

const BEAT_MS = 1_000;
const CLAIM_TICK_MS = 100;

interface Node {
  readonly nodeId: string;
  readonly incarnation: number;
  replica: string;
  linkId: number;
  linkNumber: number;
  claims: NodeClaims;
}

/** Runs the real claims of each node, and asks between nodes at once. */
export class HolderNodes {
  /** All sets that any replica told, as JSON, by epoch. */
  readonly told = new Map<number, Set<string>>();
  readonly #replicas: Replicas;
  readonly #nodes = new Map<string, Node>();
  #nextLink = 1;

  constructor(replicas: Replicas) {
    this.#replicas = replicas;
    replicas.onTick = () => this.#tick();
    replicas.onLink = (id, linkId, message) => this.#hear(id, linkId, message);
  }

  /** Starts a node, or starts it again, linked to a replica. */
  start(nodeId: string, replica: string): void {
    this.#nodes.set(nodeId, {
      nodeId,
      incarnation: this.#replicas.nowMs,
      replica,
      linkId: 0,
      linkNumber: 0,
      claims: INITIAL_NODE_CLAIMS,
    });
    this.move(nodeId, replica);
  }

  /** Links a node to a replica that has started. */
  move(nodeId: string, replica: string): void {
    const node = this.#nodes.get(nodeId)!;
    Object.assign(node, { replica, linkId: this.#nextLink++ });
    node.linkNumber += 1;
    const { incarnation, linkNumber } = node;
    this.#replicas.tell(replica, node.linkId, {
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

  /** Gets the epoch in which a node claims; 0 for none. */
  getEpoch(nodeId: string): number {
    return this.#nodes.get(nodeId)?.claims.sets?.active.epoch ?? 0;
  }

  #tick(): void {
    const { nowMs } = this.#replicas;
    for (const node of this.#nodes.values()) {
      if (nowMs % BEAT_MS === 0) {
        const clock = { wallMs: nowMs, counter: 0 };
        const message = { type: "Heartbeat", tableVersion: 0, clock } as const;
        this.#replicas.tell(node.replica, node.linkId, message);
      }
      if (nowMs % CLAIM_TICK_MS === 0) {
        this.#apply(node, tickClaims(node.claims, createSelf(node), nowMs));
      }
    }
  }

  #hear(id: string, linkId: number, message: OutboundMessage): void {
    if (message.type !== "HolderSetUpdate") {
      return;
    }
    const { active, proposed } = message.sets;
    [active, proposed].forEach((set) => set && this.#note(set));
    const node = [...this.#nodes.values()].find((one) =>
      one.replica === id && one.linkId === linkId
    );
    if (node !== undefined) {
      const { claims } = node;
      this.#apply(node, receiveSets(claims, message.sets, createSelf(node)));
    }
  }

  #note(set: HolderSet): void {
    const sets = this.told.get(set.epoch) ?? new Set();
    this.told.set(set.epoch, sets.add(JSON.stringify(set)));
  }

  #apply(node: Node, step: NodeClaimStep): void {
    node.claims = step.state;
    for (const effect of step.effects) {
      if (effect.type === "ReportCopied") {
        this.#replicas.tell(node.replica, node.linkId, effect);
      } else if (effect.type === "AskPeer") {
        const asked = this.#nodes.get(effect.address);
        const { incarnation } = asked ?? node;
        const at = { incarnation, nowMs: this.#replicas.nowMs };
        const answer = asked &&
          answerClaimMessage(asked.claims, effect.message, at);
        Object.assign(asked ?? {}, { claims: answer?.claims });
        const { requestId } = effect;
        this.#apply(node, receiveReply(node.claims, requestId, answer?.reply));
      }
    }
  }
}

function createSelf({ nodeId, incarnation }: Node) {
  return { nodeId, incarnation, ingress: nodeId };
}
