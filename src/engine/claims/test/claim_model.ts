/** Model of nodes, control and a lossy network, driven by random schedules. */
import type { ClaimReply, HolderRequest } from "../common/claim_messages.ts";
import {
  checkClaim,
  receiveClaimReply,
  resumeClaim,
  startClaim,
} from "../common/claim_reducer.ts";
import type { ClaimStep } from "../common/claim_reducer.ts";
import { INITIAL_CLAIM_STATE } from "../common/claim_state.ts";
import type {
  ClaimEffect,
  ClaimState,
  ClaimVerdict,
} from "../common/claim_state.ts";
import type { HolderSet, HolderSets } from "../common/claim_types.ts";
import {
  answerHolder,
  applySets,
  INITIAL_HOLDER_STATE,
  isCopyReply,
  receivePage,
} from "../common/holder_reducer.ts";
import type { HolderState, HolderStep } from "../common/holder_reducer.ts";
import {
  applyHolderCommand,
  planHolders,
} from "../common/holder_set_reducer.ts";
import type { ServiceHolders } from "../common/holder_set_reducer.ts";
import { recordRunOutcome, resendOutcomes } from "../common/outcome_steps.ts";

/** Removes one rule of the protocol; each must lead to a repeated run. */
export type Mutation =
  | "none"
  | "copy-nothing"
  | "restarted-holder-votes"
  | "any-epoch"
  | "one-vote-wins";

interface Node {
  readonly id: string;
  incarnation: number;
  holder: HolderState;
  claims: ClaimState;
  sets: HolderSets | undefined;
  running: string[];
  isDraining: boolean;
}

interface Packet {
  readonly from: string;
  readonly incarnation: number;
  readonly request: HolderRequest;
  /** Set once answered; "lost" if the request or its reply was lost. */
  readonly reply?: ClaimReply | "lost";
}

/** One event; `pick` selects its target, modulo the number of targets. */
export interface Action {
  readonly type:
    | "deliver"
    | "deliver-many"
    | "lose"
    | "repeat"
    | "resend"
    | "finish"
    | "wake"
    | "retry"
    | "tell"
    | "drain"
    | "restart";
  readonly pick: number;
}

const NODES = ["n0", "n1", "n2", "n3", "n4"];
const BATCH_SIZE = 8;
const PICK_STRIDE = 7_919;
const SERVICE = "custody";

/** A service of five nodes, three of them holders. */
export class ClaimModel {
  readonly nodes: readonly Node[];
  readonly runs = new Map<string, number>();
  readonly verdicts: (ClaimVerdict & { readonly key: string })[] = [];
  readonly #mutation: Mutation;
  readonly #keys = new Map<string, string>();
  #packets: Packet[] = [];
  #sets: ServiceHolders | undefined;
  #attemptCount = 0;

  constructor(mutation: Mutation) {
    this.#mutation = mutation;
    this.nodes = NODES.map((id) => createNode(id));
    this.#proposeHolders();
    this.nodes.forEach((node) => this.#notify(node));
  }

  get epoch(): number {
    return this.#sets!.active.epoch;
  }

  /** Performs one action. */
  step(action: Action): void {
    const { type, pick } = action;
    const node = this.nodes[pick % this.nodes.length]!;
    switch (type) {
      case "deliver":
        return this.#deliver(pick, false);
      case "deliver-many":
        for (let i = 0; i < BATCH_SIZE; i++) {
          this.#deliver(pick + i * PICK_STRIDE, false);
        }
        return;
      case "repeat":
        return this.#deliver(pick, true);
      case "lose":
        return this.#lose(pick);
      case "resend":
        return this.#resend(node, pick % 2 === 0 ? "k0" : "k1");
      case "finish":
        return this.#finish(node);
      case "wake":
        for (const [id, one] of node.claims.coordinations) {
          if (one.phase === "waiting") {
            this.#apply(node, resumeClaim(node.claims, id));
          }
        }
        return;
      case "retry":
        this.#applySets(node);
        return this.#apply(
          node,
          resendOutcomes(node.claims, node.sets?.active),
        );
      case "tell":
        return this.#notify(node);
      case "drain":
        node.isDraining = !node.isDraining;
        return this.#proposeHolders();
      case "restart":
        return this.#restart(node);
    }
  }

  /** Delivers packets until none is in flight, or 2,000 have been delivered. */
  settle(): void {
    for (let i = 0; i < 2_000 && this.#packets.length > 0; i++) {
      this.#deliver(0, false);
    }
    this.nodes.forEach((_, pick) => this.step({ type: "wake", pick }));
  }

  #resend(node: Node, key: string): void {
    if (node.sets === undefined) {
      return;
    }
    const attemptId = `a${String(this.#attemptCount++).padStart(3, "0")}`;
    this.#keys.set(attemptId, key);
    this.#apply(
      node,
      startClaim(node.claims, {
        attemptId,
        request: { key, fingerprint: key },
        set: this.#mutateSet(node.sets.active),
        ingress: node.id,
      }),
    );
  }

  #mutateSet(set: HolderSet): HolderSet {
    if (this.#mutation !== "one-vote-wins") {
      return set;
    }
    const one = set.members[this.#attemptCount % set.members.length]!;
    return { ...set, members: [one] };
  }

  #finish(node: Node): void {
    const attemptId = node.running.shift();
    if (attemptId === undefined) {
      return;
    }
    const bodyBase64 = this.#keys.get(attemptId)!;
    const answer = { status: 200, headers: [], bodyBase64 };
    this.#apply(node, recordRunOutcome(node.claims, attemptId, answer));
  }

  #apply(node: Node, step: ClaimStep): void {
    node.claims = step.state;
    step.effects.forEach((effect) => this.#perform(node, effect));
  }

  #perform(node: Node, effect: ClaimEffect): void {
    const { id, incarnation } = node;
    switch (effect.type) {
      case "AskPeer":
        this.#packets.push({ from: id, incarnation, request: effect });
        return;
      case "RunClaimed": {
        const key = this.#keys.get(effect.attemptId)!;
        this.runs.set(key, (this.runs.get(key) ?? 0) + 1);
        node.running.push(effect.attemptId);
        return;
      }
      case "SettleClaim":
        this.verdicts.push({
          ...effect.verdict,
          key: this.#keys.get(effect.attemptId)!,
        });
        return;
      case "RelayClaimed":
      case "StartClaimTimer":
        return;
    }
  }

  #deliver(pick: number, isRepeated: boolean): void {
    const index = pick % Math.max(1, this.#packets.length);
    const packet = this.#packets[index];
    if (packet === undefined) {
      return;
    }
    if (!isRepeated) {
      this.#packets.splice(index, 1);
    }
    if (packet.reply === undefined) {
      const reply = this.#answerRequest(packet.request);
      this.#packets.push({ ...packet, reply });
      return;
    }
    const reply = packet.reply === "lost" ? undefined : packet.reply;
    this.#receiveReply(packet, reply);
  }

  #lose(pick: number): void {
    const index = pick % Math.max(1, this.#packets.length);
    const packet = this.#packets[index];
    if (packet !== undefined) {
      this.#packets[index] = { ...packet, reply: "lost" };
    }
  }

  #answerRequest(ask: HolderRequest): ClaimReply {
    const node = this.nodes.find((one) => one.id === ask.address)!;
    const { message } = ask;
    if (message.type === "CheckClaim") {
      const phase = checkClaim(node.claims, message.attemptId);
      return { type: "ClaimChecked", phase };
    }
    const { incarnation, holder } = node;
    const ignoresEpoch = this.#mutation === "any-epoch" &&
      message.type === "ClaimKey";
    const received = ignoresEpoch
      ? { ...message, epoch: holder.votingEpoch, incarnation }
      : message;
    const checkedHolder = ignoresEpoch ? { ...holder, sealedEpoch: 0 } : holder;
    const { state, reply } = answerHolder(checkedHolder, received, {
      incarnation,
      nowMs: 0,
    });
    const { sealedEpoch } = ignoresEpoch ? holder : state;
    node.holder = { ...state, sealedEpoch };
    return reply;
  }

  #receiveReply(packet: Packet, reply: ClaimReply | undefined): void {
    const node = this.nodes.find((one) => one.id === packet.from)!;
    if (node.incarnation !== packet.incarnation) {
      return;
    }
    const { requestId } = packet.request;
    if (isCopyReply(requestId)) {
      this.#applyHolderStep(node, receivePage(node.holder, requestId, reply));
      return;
    }
    this.#apply(node, receiveClaimReply(node.claims, requestId, reply));
  }

  #notify(node: Node): void {
    node.sets = this.#sets;
    this.#applySets(node);
  }

  #applySets(node: Node): void {
    if (node.sets === undefined) {
      return;
    }
    const { id: nodeId, incarnation } = node;
    const step = applySets(node.holder, node.sets, { nodeId, incarnation });
    const epoch = step.state.copying?.epoch;
    if (this.#mutation === "copy-nothing" && epoch !== undefined) {
      const state = { ...step.state, votingEpoch: epoch, copying: undefined };
      this.#applyHolderStep(node, { state, requests: [], copiedEpoch: epoch });
      return;
    }
    this.#applyHolderStep(node, step);
  }

  #applyHolderStep(node: Node, step: HolderStep): void {
    const { id: nodeId, incarnation } = node;
    node.holder = step.state;
    step.requests.forEach((ask) => this.#perform(node, ask));
    if (step.copiedEpoch !== undefined) {
      this.#sets = applyHolderCommand(this.#sets, {
        type: "HolderCopied",
        service: SERVICE,
        epoch: step.copiedEpoch,
        nodeId,
        incarnation,
      });
    }
  }

  #proposeHolders(): void {
    const members = planHolders(
      this.#sets,
      this.nodes.map(({ id, incarnation, isDraining }) => ({
        nodeId: id,
        incarnation,
        dataCentre: `dc-${id}`,
        ingress: id,
        isDraining,
      })),
      SERVICE,
    );
    if (members !== undefined) {
      this.#sets = applyHolderCommand(this.#sets, {
        type: "HolderSetProposed",
        service: SERVICE,
        members,
        fromEpoch: this.#sets?.lastEpoch ?? 0,
      });
    }
  }

  #restart(node: Node): void {
    const { votingEpoch } = node.holder;
    Object.assign(node, createNode(node.id, node.incarnation + 1));
    this.#proposeHolders();
    if (this.#mutation === "restarted-holder-votes") {
      node.incarnation -= 1;
      node.holder = { ...INITIAL_HOLDER_STATE, votingEpoch };
    }
  }
}

function createNode(id: string, incarnation = 1): Node {
  return {
    id,
    incarnation,
    holder: INITIAL_HOLDER_STATE,
    claims: INITIAL_CLAIM_STATE,
    sets: undefined,
    running: [],
    isDraining: false,
  };
}
