/** A small model of nodes, control and a lossy network, for schedules. */
import type { AskHolder, ClaimReply } from "../common/claim_messages.ts";
import {
  checkClaim,
  resumeClaim,
  startClaim,
  takeClaimReply,
} from "../common/claim_reducer.ts";
import type { ClaimStep } from "../common/claim_reducer.ts";
import { INITIAL_CLAIMS } from "../common/claim_state.ts";
import type {
  ClaimEffect,
  ClaimState,
  Verdict,
} from "../common/claim_state.ts";
import type { HolderSet, HolderSets } from "../common/claim_types.ts";
import {
  answerHolder,
  followSets,
  INITIAL_HOLDER,
  isCopyReply,
  takePage,
} from "../common/holder_reducer.ts";
import type { HolderState, HolderStep } from "../common/holder_reducer.ts";
import {
  applyHolderCommand,
  planHolders,
} from "../common/holder_set_reducer.ts";
import type { ServiceHolders } from "../common/holder_set_reducer.ts";
import { recordRun, retryOutcomes } from "../common/outcome_steps.ts";

/** One way to break the protocol; each must break the promise. */
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
  readonly ask: AskHolder;
  /** Set on the way back; "lost" where the question or reply was. */
  readonly reply?: ClaimReply | "lost";
}

/** One thing that happens; numbers are taken modulo what there is. */
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
const MANY = 8;
const STRIDE = 7_919;
const SERVICE = "custody";

/** A service of five nodes, three of them holders. */
export class ClaimModel {
  readonly nodes: readonly Node[];
  readonly runs = new Map<string, number>();
  readonly verdicts: (Verdict & { readonly key: string })[] = [];
  readonly #mutation: Mutation;
  readonly #keys = new Map<string, string>();
  #packets: Packet[] = [];
  #sets: ServiceHolders | undefined;
  #attempts = 0;

  constructor(mutation: Mutation) {
    this.#mutation = mutation;
    this.nodes = NODES.map((id) => createNode(id));
    this.#plan();
    this.nodes.forEach((node) => this.#tell(node));
  }

  get epoch(): number {
    return this.#sets!.active.epoch;
  }

  /** Does one thing. */
  step(action: Action): void {
    const { type, pick } = action;
    const node = this.nodes[pick % this.nodes.length]!;
    switch (type) {
      case "deliver":
        return this.#deliver(pick, false);
      case "deliver-many":
        for (let i = 0; i < MANY; i++) {
          this.#deliver(pick + i * STRIDE, false);
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
        this.#follow(node);
        return this.#apply(
          node,
          retryOutcomes(node.claims, node.sets?.active),
        );
      case "tell":
        return this.#tell(node);
      case "drain":
        node.isDraining = !node.isDraining;
        return this.#plan();
      case "restart":
        return this.#restart(node);
    }
  }

  /** Delivers all that is under way, until nothing is. */
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
    const attemptId = `a${String(this.#attempts++).padStart(3, "0")}`;
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
    const one = set.members[this.#attempts % set.members.length]!;
    return { ...set, members: [one] };
  }

  #finish(node: Node): void {
    const attemptId = node.running.shift();
    if (attemptId === undefined) {
      return;
    }
    const bodyBase64 = this.#keys.get(attemptId)!;
    const answer = { status: 200, headers: [], bodyBase64 };
    this.#apply(node, recordRun(node.claims, attemptId, answer));
  }

  #apply(node: Node, step: ClaimStep): void {
    node.claims = step.state;
    step.effects.forEach((effect) => this.#perform(node, effect));
  }

  #perform(node: Node, effect: ClaimEffect): void {
    const { id, incarnation } = node;
    switch (effect.type) {
      case "AskPeer":
        this.#packets.push({ from: id, incarnation, ask: effect });
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
      const reply = this.#answer(packet.ask);
      this.#packets.push({ ...packet, reply });
      return;
    }
    const reply = packet.reply === "lost" ? undefined : packet.reply;
    this.#takeReply(packet, reply);
  }

  #lose(pick: number): void {
    const index = pick % Math.max(1, this.#packets.length);
    const packet = this.#packets[index];
    if (packet !== undefined) {
      this.#packets[index] = { ...packet, reply: "lost" };
    }
  }

  #answer(ask: AskHolder): ClaimReply {
    const node = this.nodes.find((one) => one.id === ask.address)!;
    const { message } = ask;
    if (message.type === "CheckClaim") {
      const phase = checkClaim(node.claims, message.attemptId);
      return { type: "ClaimChecked", phase };
    }
    const { incarnation, holder } = node;
    const isAny = this.#mutation === "any-epoch" && message.type === "ClaimKey";
    const taken = isAny
      ? { ...message, epoch: holder.voiceEpoch, incarnation }
      : message;
    const given = isAny ? { ...holder, sealedEpoch: 0 } : holder;
    const { state, reply } = answerHolder(given, taken, {
      incarnation,
      nowMs: 0,
    });
    const { sealedEpoch } = isAny ? holder : state;
    node.holder = { ...state, sealedEpoch };
    return reply;
  }

  #takeReply(packet: Packet, reply: ClaimReply | undefined): void {
    const node = this.nodes.find((one) => one.id === packet.from)!;
    if (node.incarnation !== packet.incarnation) {
      return;
    }
    const { requestId } = packet.ask;
    if (isCopyReply(requestId)) {
      this.#hold(node, takePage(node.holder, requestId, reply));
      return;
    }
    this.#apply(node, takeClaimReply(node.claims, requestId, reply));
  }

  #tell(node: Node): void {
    node.sets = this.#sets;
    this.#follow(node);
  }

  #follow(node: Node): void {
    if (node.sets === undefined) {
      return;
    }
    const { id: nodeId, incarnation } = node;
    const step = followSets(node.holder, node.sets, { nodeId, incarnation });
    const epoch = step.state.copying?.epoch;
    if (this.#mutation === "copy-nothing" && epoch !== undefined) {
      const state = { ...step.state, voiceEpoch: epoch, copying: undefined };
      this.#hold(node, { state, asks: [], copiedEpoch: epoch });
      return;
    }
    this.#hold(node, step);
  }

  #hold(node: Node, step: HolderStep): void {
    const { id: nodeId, incarnation } = node;
    node.holder = step.state;
    step.asks.forEach((ask) => this.#perform(node, ask));
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

  #plan(): void {
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
    const { voiceEpoch } = node.holder;
    Object.assign(node, createNode(node.id, node.incarnation + 1));
    this.#plan();
    if (this.#mutation === "restarted-holder-votes") {
      node.incarnation -= 1;
      node.holder = { ...INITIAL_HOLDER, voiceEpoch };
    }
  }
}

function createNode(id: string, incarnation = 1): Node {
  return {
    id,
    incarnation,
    holder: INITIAL_HOLDER,
    claims: INITIAL_CLAIMS,
    sets: undefined,
    running: [],
    isDraining: false,
  };
}
