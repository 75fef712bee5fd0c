/** Node reducers connected by a fake network, for tests. */
import type { Announcement } from "../../membership/common/announcement.ts";
import type { VersionedRow } from "../../table/common/table_row.ts";
import { encodeContext } from "../common/call_context.ts";
import type { CallOutcome } from "../common/call_context.ts";
import type { NodeEffect, NodeEvent } from "../common/call_events.ts";
import { reduceNode } from "../common/node_reducer.ts";
import { createNodeState } from "../common/node_state.ts";
import type { NodeState } from "../common/node_state.ts";

export type SendAttempt = Extract<NodeEffect, { type: "SendAttempt" }>;

/** A row that matches every call. */
export const ROW: VersionedRow = {
  kind: "any",
  service: "s",
  method: "*",
  path: "/**",
  weight: 1,
  importance: 5,
  concurrency: 1_000,
  rate: 1_000_000,
  queue: 1_000,
  timeoutMs: 60_000,
  retries: 2,
  idempotent: true,
  key: "none",
  maxBodyBytes: 1_000,
  version: 1,
};

/** Creates the announcement of the node with this number. */
export function createMember(number: number, service = "s"): Announcement {
  return {
    nodeId: `n${number}`,
    incarnation: 1,
    sequence: 0,
    service,
    dataCentre: "d",
    region: "r",
    vm: `n${number}`,
    ingress: `n${number}:1`,
    operator: `n${number}:2`,
    slots: 1_000,
    connections: 1_000,
    isDraining: false,
  };
}

/** Creates a node whose table holds `row` and whose service has `members`. */
export function createNode(
  self: Announcement,
  row: VersionedRow,
  members: readonly Announcement[],
): NodeState {
  const initial = createNodeState(self, `${self.nodeId}:backend`);
  const table = { version: 1, rows: [row] };
  const events: readonly NodeEvent[] = [
    { type: "TableReceived", table, isConfirmed: true },
    { type: "MembersListed", service: row.service, members },
  ];
  return events.reduce(
    (state, event) => reduceNode(state, event, 0).state,
    initial,
  );
}

/** Controls the behaviour of the network and of the backend servers. */
export interface NetworkChoices {
  /** Called for each attempt that is sent to a backend server. */
  readonly runBackend: (network: NodeNetwork, run: BackendRun) => void;
  /**
   * Whether a request between nodes is lost. A "late" request is delivered
   * once no other event is queued, after its sender has seen it fail.
   */
  readonly chooseRequestLoss?: () => "lost" | "late" | undefined;
  /** Whether an answer between nodes is lost. */
  readonly isAnswerLost: () => boolean;
  /** Whether the reply to a peer message is lost. */
  readonly isReplyLost: () => boolean;
}

/** One attempt sent to a backend server. */
export interface BackendRun {
  /** The node beside the backend server. */
  readonly nodeId: string;
  /** The effect that sent the attempt. */
  readonly send: SendAttempt;
}

/** The answer to a call made by the test; both undefined if it was cut off. */
export interface ObservedAnswer {
  readonly status: number | undefined;
  readonly outcome: CallOutcome | undefined;
}

/** The attempt that opened an ingress exchange. */
interface Hop {
  readonly senderId: string;
  readonly attemptId: string;
}

/** Connects nodes; events are queued until `run` is called. */
export class NodeNetwork {
  readonly nodes = new Map<string, NodeState>();
  /** Ids of all attempts that the nodes recorded as sent. */
  readonly sentAttemptIds: string[] = [];
  /** By exchange id. */
  readonly answers = new Map<string, ObservedAnswer>();
  nowMs = 1_000_000;
  readonly #choices: NetworkChoices;
  /** Events with the node that they are for. */
  readonly #queue: (readonly [string, NodeEvent])[] = [];
  /** Delivered once `#queue` is empty. */
  readonly #lateQueue: (readonly [string, NodeEvent])[] = [];
  /** By exchange id at the receiver. */
  readonly #hops = new Map<string, Hop>();
  /** Receiver and its exchange id, by attempt id. */
  readonly #exchangeOfAttempt = new Map<string, readonly [string, string]>();
  /** Callbacks for the answers of calls, by exchange id. */
  readonly #answerCallbacks = new Map<string, () => void>();
  /** Sender and request id of each peer message, by `askId`. */
  readonly #pendingAsks = new Map<
    number,
    { senderId: string; requestId: string }
  >();
  #nextId = 0;

  constructor(row: VersionedRow, count: number, choices: NetworkChoices) {
    this.#choices = choices;
    const members = Array.from({ length: count }, (_, i) => createMember(i));
    for (const member of members) {
      this.nodes.set(member.nodeId, createNode(member, row, members));
    }
  }

  /** Enqueues an event for a node. */
  enqueueEvent(nodeId: string, event: NodeEvent): void {
    this.#queue.push([nodeId, event]);
  }

  /** Enqueues a call and returns its exchange id. */
  call(
    nodeId: string,
    listener: "edge" | "egress",
    contextHeader?: string,
  ): string {
    const exchangeId = `x${this.#nextId++}`;
    this.#receive(nodeId, exchangeId, listener, contextHeader);
    return exchangeId;
  }

  /** Calls `then` once a call made by the test has been answered. */
  notifyOnAnswer(exchangeId: string, then: () => void): void {
    this.#answerCallbacks.set(exchangeId, then);
  }

  /** Applies events until none is queued. */
  run(): void {
    const dequeue = () => this.#queue.shift() ?? this.#lateQueue.shift();
    for (let next = dequeue(); next; next = dequeue()) {
      const [nodeId, event] = next;
      const state = this.nodes.get(nodeId)!;
      const step = reduceNode(state, event, this.nowMs);
      this.nodes.set(nodeId, step.state);
      for (const effect of step.effects) {
        this.#perform(nodeId, effect);
      }
    }
  }

  #receive(
    nodeId: string,
    exchangeId: string,
    listener: "edge" | "egress" | "ingress",
    contextHeader: string | undefined,
  ): void {
    this.enqueueEvent(nodeId, {
      type: "CallReceived",
      exchangeId,
      listener,
      method: "GET",
      path: "/any",
      contextHeader,
      bodyBytes: 0,
      isReplayable: true,
    });
  }

  #perform(nodeId: string, effect: NodeEffect): void {
    switch (effect.type) {
      case "RecordEvent":
        if (effect.event.type === "AttemptSent") {
          this.sentAttemptIds.push(effect.event.attemptId);
        }
        return;
      case "SendAttempt":
        this.#send(nodeId, effect);
        return;
      case "ProbeBackend":
        this.enqueueEvent(nodeId, { type: "BackendProbed", isAlive: true });
        return;
      case "AnswerCall":
        this.#deliverAnswer(effect.exchangeId, effect.status, effect.headers);
        return;
      case "RelayAnswer":
        this.#deliverAnswer(effect.exchangeId, 200, effect.headers);
        this.enqueueEvent(nodeId, {
          type: "AttemptEnded",
          attemptId: effect.attemptId,
        });
        return;
      case "DropExchange":
        this.#recordAnswer(effect.exchangeId, undefined, undefined);
        return;
      case "AbortAttempt": {
        const [peerId, exchangeId] =
          this.#exchangeOfAttempt.get(effect.attemptId) ??
            [];
        if (peerId !== undefined && exchangeId !== undefined) {
          this.enqueueEvent(peerId, { type: "CallerLeft", exchangeId });
        }
        return;
      }
      case "AskPeer": {
        const askId = this.#nextId++;
        const { requestId, address, message } = effect;
        this.#pendingAsks.set(askId, { senderId: nodeId, requestId });
        this.enqueueEvent(address.split(":")[0]!, {
          type: "PeerAsked",
          askId,
          message,
        });
        return;
      }
      case "AnswerPeer": {
        const { senderId, requestId } = this.#pendingAsks.get(effect.askId)!;
        const reply = this.#choices.isReplyLost() ? undefined : effect.reply;
        this.enqueueEvent(senderId, { type: "PeerReplied", requestId, reply });
        return;
      }
    }
  }

  #send(nodeId: string, effect: SendAttempt): void {
    const { attemptId, address, context } = effect;
    if (effect.peer === "backend") {
      this.#choices.runBackend(this, { nodeId, send: effect });
      return;
    }
    const exchangeId = `x${this.#nextId++}`;
    this.#hops.set(exchangeId, { senderId: nodeId, attemptId });
    const peerId = address.split(":")[0]!;
    this.#exchangeOfAttempt.set(attemptId, [peerId, exchangeId]);
    this.#receive(peerId, exchangeId, "ingress", encodeContext(context));
    const loss = this.#choices.chooseRequestLoss?.();
    if (loss === undefined) {
      return;
    }
    const request = this.#queue.pop()!;
    if (loss === "late") {
      this.#lateQueue.push(request);
    }
    const reason = "lost";
    const type = "AttemptFailed";
    this.enqueueEvent(nodeId, { type, attemptId, isSent: true, reason });
  }

  #deliverAnswer(
    exchangeId: string,
    status: number,
    headers: Readonly<Record<string, string>>,
  ): void {
    const outcome = headers["basilpin-outcome"] as CallOutcome;
    const hop = this.#hops.get(exchangeId);
    if (hop === undefined) {
      this.#recordAnswer(exchangeId, status, outcome);
      return;
    }
    const { senderId, attemptId } = hop;
    if (this.#choices.isAnswerLost()) {
      const reason = "lost";
      this.enqueueEvent(senderId, {
        type: "AttemptFailed",
        attemptId,
        isSent: true,
        reason,
      });
      return;
    }
    const tokens = Number(headers["basilpin-tokens"] ?? 0);
    const answer = { status, outcome, tokens, isDraining: false };
    this.enqueueEvent(senderId, { type: "AttemptAnswered", attemptId, answer });
    this.enqueueEvent(senderId, { type: "AttemptEnded", attemptId });
  }

  #recordAnswer(
    exchangeId: string,
    status: number | undefined,
    outcome: CallOutcome | undefined,
  ): void {
    this.answers.set(exchangeId, { status, outcome });
    this.#answerCallbacks.get(exchangeId)?.();
    this.#answerCallbacks.delete(exchangeId);
  }
}
