/** Several real node reducers joined by a fake network, for tests. */
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

/** Creates a node that holds `row` and knows `members`. */
export function createNode(
  self: Announcement,
  row: VersionedRow,
  members: readonly Announcement[],
): NodeState {
  const start = createNodeState(self, `${self.nodeId}:backend`);
  const table = { version: 1, rows: [row] };
  const events: readonly NodeEvent[] = [
    { type: "TableReceived", table, isConfirmed: true },
    { type: "MembersListed", service: row.service, members },
  ];
  return events.reduce(
    (state, event) => reduceNode(state, event, 0).state,
    start,
  );
}

/** Decides what the network and the backend servers do. */
export interface NetworkChoices {
  /** Called with what a backend server is to run. */
  readonly runBackend: (network: NodeNetwork, run: BackendRun) => void;
  /** "late" arrives after all else, when its sender has given it up. */
  readonly loseRequest?: () => "lost" | "late" | undefined;
  readonly isAnswerLost: () => boolean;
  readonly isReplyLost: () => boolean;
}

/** One run at a backend server. */
export interface BackendRun {
  readonly nodeId: string;
  readonly send: SendAttempt;
}

/** An answer to an exchange that the test opened. */
export interface SeenAnswer {
  readonly status: number | undefined;
  readonly outcome: CallOutcome | undefined;
}

interface Hop {
  readonly senderId: string;
  readonly attemptId: string;
}

/** Joins nodes; events wait in a queue until `run`. */
export class NodeNetwork {
  readonly nodes = new Map<string, NodeState>();
  readonly sent: string[] = [];
  readonly answers = new Map<string, SeenAnswer>();
  nowMs = 1_000_000;
  readonly #choices: NetworkChoices;
  readonly #queue: (readonly [string, NodeEvent])[] = [];
  readonly #late: (readonly [string, NodeEvent])[] = [];
  readonly #hops = new Map<string, Hop>();
  readonly #exchangeOf = new Map<string, readonly [string, string]>();
  readonly #waiting = new Map<string, () => void>();
  readonly #asks = new Map<number, { senderId: string; requestId: string }>();
  #nextId = 0;

  constructor(row: VersionedRow, count: number, choices: NetworkChoices) {
    this.#choices = choices;
    const members = Array.from({ length: count }, (_, i) => createMember(i));
    for (const member of members) {
      this.nodes.set(member.nodeId, createNode(member, row, members));
    }
  }

  /** Queues an event at a node. */
  post(nodeId: string, event: NodeEvent): void {
    this.#queue.push([nodeId, event]);
  }

  /** Queues a call and returns the id of its exchange. */
  call(
    nodeId: string,
    listener: "edge" | "egress",
    contextHeader?: string,
  ): string {
    const exchangeId = `x${this.#nextId++}`;
    this.#receive(nodeId, exchangeId, listener, contextHeader);
    return exchangeId;
  }

  /** Calls `then` once an exchange of the test has its answer. */
  waitAnswer(exchangeId: string, then: () => void): void {
    this.#waiting.set(exchangeId, then);
  }

  /** Runs until nothing is left to do. */
  run(): void {
    const take = () => this.#queue.shift() ?? this.#late.shift();
    for (let next = take(); next; next = take()) {
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
    this.post(nodeId, {
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
          this.sent.push(effect.event.attemptId);
        }
        return;
      case "SendAttempt":
        this.#send(nodeId, effect);
        return;
      case "ProbeBackend":
        this.post(nodeId, { type: "BackendProbed", isAlive: true });
        return;
      case "AnswerCall":
        this.#answer(effect.exchangeId, effect.status, effect.headers);
        return;
      case "RelayAnswer":
        this.#answer(effect.exchangeId, 200, effect.headers);
        this.post(nodeId, {
          type: "AttemptEnded",
          attemptId: effect.attemptId,
        });
        return;
      case "DropExchange":
        this.#finish(effect.exchangeId, undefined, undefined);
        return;
      case "AbortAttempt": {
        const [peerId, exchangeId] = this.#exchangeOf.get(effect.attemptId) ??
          [];
        if (peerId !== undefined && exchangeId !== undefined) {
          this.post(peerId, { type: "CallerLeft", exchangeId });
        }
        return;
      }
      case "AskPeer": {
        const askId = this.#nextId++;
        const { requestId, address, message } = effect;
        this.#asks.set(askId, { senderId: nodeId, requestId });
        this.post(address.split(":")[0]!, {
          type: "PeerAsked",
          askId,
          message,
        });
        return;
      }
      case "AnswerPeer": {
        const { senderId, requestId } = this.#asks.get(effect.askId)!;
        const reply = this.#choices.isReplyLost() ? undefined : effect.reply;
        this.post(senderId, { type: "PeerReplied", requestId, reply });
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
    this.#exchangeOf.set(attemptId, [peerId, exchangeId]);
    this.#receive(peerId, exchangeId, "ingress", encodeContext(context));
    const loss = this.#choices.loseRequest?.();
    if (loss === undefined) {
      return;
    }
    const arrival = this.#queue.pop()!;
    if (loss === "late") {
      this.#late.push(arrival);
    }
    const reason = "lost";
    const type = "AttemptFailed";
    this.post(nodeId, { type, attemptId, isSent: true, reason });
  }

  #answer(
    exchangeId: string,
    status: number,
    headers: Readonly<Record<string, string>>,
  ): void {
    const outcome = headers["basilpin-outcome"] as CallOutcome;
    const hop = this.#hops.get(exchangeId);
    if (hop === undefined) {
      this.#finish(exchangeId, status, outcome);
      return;
    }
    const { senderId, attemptId } = hop;
    if (this.#choices.isAnswerLost()) {
      const reason = "lost";
      this.post(senderId, {
        type: "AttemptFailed",
        attemptId,
        isSent: true,
        reason,
      });
      return;
    }
    const tokens = Number(headers["basilpin-tokens"] ?? 0);
    const answer = { status, outcome, tokens, isDraining: false };
    this.post(senderId, { type: "AttemptAnswered", attemptId, answer });
    this.post(senderId, { type: "AttemptEnded", attemptId });
  }

  #finish(
    exchangeId: string,
    status: number | undefined,
    outcome: CallOutcome | undefined,
  ): void {
    this.answers.set(exchangeId, { status, outcome });
    this.#waiting.get(exchangeId)?.();
    this.#waiting.delete(exchangeId);
  }
}
