/** Suspects among several nodes: who may run, and who is told when. */
import { expect } from "chai";
import fc from "fast-check";
import { encodeContext } from "../common/call_context.ts";
import type { NodeEffect, NodeEvent } from "../common/call_events.ts";
import { reduceNode } from "../common/node_reducer.ts";
import type { NodeState } from "../common/node_state.ts";
import { findOwner } from "../common/quarantine_steps.ts";
import { createMember, createNode, ROW } from "./node_network.ts";

const GUILTY = "guilty";
const FINGERPRINT = `${ROW.kind}|${GUILTY}`;
const MEMBERS = [0, 1, 2, 3].map((i) => createMember(i));

/** Nodes whose messages arrive at once, unless they are held back. */
class Service {
  readonly nodes = new Map<string, NodeState>();
  readonly answers = new Map<string, number>();
  readonly held: (() => void)[] = [];
  readonly events: string[] = [];
  /** Attempts at each backend server. */
  readonly running = new Map<string, Set<string>>();
  isHolding = false;
  /** A node whose replies are lost. */
  silent: string | undefined;
  isAlive = false;
  nowMs = 1_000_000;
  #nextId = 0;
  readonly #asks = new Map<number, (reply: object) => void>();

  constructor() {
    for (const member of MEMBERS) {
      const node = createNode(member, ROW, MEMBERS);
      this.nodes.set(member.nodeId, node);
      this.running.set(member.nodeId, new Set());
    }
  }

  /** Hands an attempt with these bytes to a node; returns its id. */
  receive(nodeId: string, digest: string): string {
    const attemptId = `${digest}-${this.#nextId++}`;
    const contextHeader = encodeContext({
      rootId: attemptId,
      attemptId,
      importance: 5,
      admissionHash: 1,
      depth: 0,
      remainingMs: 10_000,
      retryTokens: 0,
    });
    this.step(nodeId, {
      type: "CallReceived",
      exchangeId: attemptId,
      listener: "ingress",
      method: "GET",
      path: "/any",
      contextHeader,
      bodyBytes: 0,
      isReplayable: true,
      digest,
    });
    return attemptId;
  }

  /** The backend server dies with all that it runs. */
  crash(nodeId: string): void {
    const lost = [...this.running.get(nodeId)!];
    this.running.get(nodeId)!.clear();
    for (const attemptId of lost) {
      const type = "AttemptFailed";
      const reason = "reset";
      this.step(nodeId, {
        type,
        attemptId,
        isSent: true,
        reason,
        isReset: true,
      });
    }
    this.step(nodeId, { type: "BackendProbed", isAlive: this.isAlive });
  }

  /** A run comes to a whole answer. */
  finish(nodeId: string, attemptId: string): void {
    this.running.get(nodeId)!.delete(attemptId);
    const answer = { status: 200, outcome: "ran", tokens: 0 } as const;
    this.step(nodeId, {
      type: "AttemptAnswered",
      attemptId,
      answer: { ...answer, isDraining: false },
    });
    this.step(nodeId, { type: "AttemptEnded", attemptId });
  }

  isRunning(nodeId: string, attemptId: string): boolean {
    return this.running.get(nodeId)!.has(attemptId);
  }

  step(nodeId: string, event: NodeEvent): void {
    const { state, effects } = reduceNode(
      this.nodes.get(nodeId)!,
      event,
      this.nowMs,
    );
    this.nodes.set(nodeId, state);
    for (const effect of effects) {
      this.#perform(nodeId, effect);
    }
  }

  #perform(nodeId: string, effect: NodeEffect): void {
    switch (effect.type) {
      case "SendAttempt":
        this.running.get(nodeId)!.add(effect.attemptId);
        return;
      case "AnswerCall":
        this.answers.set(effect.exchangeId, effect.status);
        return;
      case "RecordEvent":
        this.events.push(effect.event.type);
        return;
      case "AskPeer":
        this.#ask(nodeId, effect);
        return;
      case "AnswerPeer":
        this.#asks.get(effect.askId)!(effect.reply);
        return;
    }
  }

  #ask(
    nodeId: string,
    effect: Extract<NodeEffect, { type: "AskPeer" }>,
  ): void {
    const { address, message, requestId } = effect;
    const target = address.split(":")[0]!;
    const reply = (value: object | undefined) =>
      this.step(nodeId, {
        type: "PeerReplied",
        requestId,
        reply: value as never,
      });
    const deliver = () => {
      if (target === this.silent) {
        reply(undefined);
        return;
      }
      const askId = this.#nextId++;
      this.#asks.set(askId, reply);
      this.step(target, { type: "PeerAsked", askId, message });
    };
    if (this.isHolding) {
      this.held.push(deliver);
      return;
    }
    deliver();
  }
}

describe("suspects among the nodes of a service", () => {
  it("run at one node at a time, and nowhere after the second crash", () => {
    const service = new Service();
    service.receive("n0", GUILTY);
    service.crash("n0");
    const second = service.receive("n1", GUILTY);
    expect(service.isRunning("n1", second)).to.equal(true);
    const third = service.receive("n2", GUILTY);
    expect(service.isRunning("n2", third)).to.equal(false);
    expect(service.answers.get(third)).to.equal(503);
    service.crash("n1");
    for (const { nodeId } of MEMBERS) {
      const later = service.receive(nodeId, GUILTY);
      expect(service.isRunning(nodeId, later)).to.equal(false);
      expect(service.answers.get(later)).to.equal(422);
    }
    expect(service.events).to.include("RequestQuarantined");
  });

  it("are known everywhere before the crashed attempt is answered", () => {
    const service = new Service();
    const first = service.receive("n0", GUILTY);
    service.isHolding = true;
    service.crash("n0");
    expect(service.answers.has(first)).to.equal(false);
    service.isHolding = false;
    service.held.splice(0).forEach((deliver) => deliver());
    expect(service.answers.get(first)).to.equal(502);
    for (const node of service.nodes.values()) {
      expect([...node.quarantine.known.keys()]).to.deep.equal([FINGERPRINT]);
    }
  });

  it("run nowhere while their owner is silent", () => {
    const service = new Service();
    service.receive("n0", GUILTY);
    service.crash("n0");
    const { nodeId: owner } = findOwner(service.nodes.get("n0")!, FINGERPRINT)!;
    const other = MEMBERS.find(({ nodeId }) => nodeId !== owner)!.nodeId;
    service.silent = owner;
    const refused = service.receive(other, GUILTY);
    expect(service.isRunning(other, refused)).to.equal(false);
    expect(service.answers.get(refused)).to.equal(503);
    service.silent = undefined;
    service.nowMs += 2_000;
    service.step(other, { type: "Ticked" });
    const granted = service.receive(other, GUILTY);
    expect(service.isRunning(other, granted)).to.equal(true);
  });

  it("are told to a node that joins", () => {
    const service = new Service();
    service.receive("n0", GUILTY);
    service.crash("n0");
    const fresh = { ...MEMBERS[3]!, incarnation: 2 };
    service.nodes.set("n3", createNode(fresh, ROW, MEMBERS));
    for (const { nodeId } of MEMBERS) {
      service.step(nodeId, { type: "MemberPublished", announcement: fresh });
    }
    const { known } = service.nodes.get("n3")!.quarantine;
    expect([...known.keys()]).to.deep.equal([FINGERPRINT]);
  });

  it("are not made by one reset of a backend server that lives", () => {
    const service = new Service();
    service.isAlive = true;
    const cut = service.receive("n0", GUILTY);
    service.crash("n0");
    expect(service.answers.get(cut)).to.equal(502);
    expect(service.nodes.get("n1")!.quarantine.known.size).to.equal(0);
  });

  it("are made where all was reset and the process is back already", () => {
    const service = new Service();
    service.isAlive = true;
    service.receive("n0", GUILTY);
    service.receive("n0", "other");
    service.crash("n0");
    expect(service.nodes.get("n1")!.quarantine.known.size).to.equal(2);
  });

  it("count once for a crash, though their failures come one by one", () => {
    const service = new Service();
    const innocent = service.receive("n0", "innocent");
    const late = service.receive("n0", GUILTY);
    service.running.get("n0")!.delete(late);
    service.crash("n0");
    expect(service.answers.has(innocent)).to.equal(true);
    service.running.get("n0")!.add(late);
    service.crash("n0");
    expect(service.answers.get(late)).to.equal(502);
    const crashes = service.events.filter((type) => type === "BackendCrashed");
    expect(crashes.length).to.equal(1);
    expect(service.events).not.to.include("RequestQuarantined");
  });

  it("aren't convicted beside another that was there before", () => {
    const service = new Service();
    service.receive("n0", GUILTY);
    service.receive("n0", "innocent");
    service.receive("n1", GUILTY);
    service.crash("n0");
    const leased = service.receive("n1", "innocent");
    expect(service.isRunning("n1", leased)).to.equal(true);
    service.crash("n1");
    const again = service.receive("n2", "innocent");
    expect(service.isRunning("n2", again)).to.equal(true);
    service.finish("n2", again);
    for (const node of service.nodes.values()) {
      expect([...node.quarantine.known.keys()]).to.deep.equal([FINGERPRINT]);
    }
  });

  it("are forgotten by a node that missed the word of their owner", () => {
    const service = new Service();
    service.receive("n0", "innocent");
    service.crash("n0");
    const again = service.receive("n1", "innocent");
    const owner = findOwner(
      service.nodes.get("n1")!,
      `${ROW.kind}|innocent`,
    )!.nodeId;
    service.silent =
      MEMBERS.find(({ nodeId }) => nodeId !== owner && nodeId !== "n1")!.nodeId;
    service.finish("n1", again);
    const deaf = service.silent;
    service.silent = undefined;
    expect(service.nodes.get(deaf)!.quarantine.known.size).to.equal(1);
    service.nowMs += 4_000;
    service.step(deaf, { type: "Ticked" });
    expect(service.nodes.get(deaf)!.quarantine.known.size).to.equal(0);
  });

  it("aren't made anew by the word of a crash that comes last", () => {
    const service = new Service();
    service.receive("n0", "innocent");
    service.isHolding = true;
    service.crash("n0");
    service.isHolding = false;
    const tells = service.held.splice(0);
    tells.shift()!();
    const again = service.receive("n1", "innocent");
    service.finish("n1", again);
    tells.forEach((deliver) => deliver());
    for (const { quarantine } of service.nodes.values()) {
      expect([...quarantine.known.keys()]).to.deep.equal([]);
      expect([...quarantine.ledger.suspects.keys()]).to.deep.equal([]);
    }
  });

  it("cost two backend servers, resent anywhere beside any others", () => {
    const ids = fc.constantFrom(...MEMBERS.map(({ nodeId }) => nodeId));
    const digest = fc.constantFrom("a", "b", "c", "d");
    const action = fc.record({
      type: fc.constantFrom("resend", "innocent", "finish", "tick", "leave"),
      nodeId: ids,
      digest,
    });
    fc.assert(
      fc.property(fc.array(action, { maxLength: 80 }), (actions) => {
        const service = new Service();
        let deaths = 0;
        for (const { type, nodeId, digest } of actions) {
          service.nowMs += 200;
          const runs = [...service.running.get(nodeId)!];
          if (type === "resend") {
            const sent = service.receive(nodeId, GUILTY);
            if (service.isRunning(nodeId, sent)) {
              deaths += 1;
              service.crash(nodeId);
            }
          } else if (type === "innocent") {
            service.receive(nodeId, digest);
          } else if (type === "tick") {
            service.step(nodeId, { type: "Ticked" });
          } else if (runs.length > 0 && type === "finish") {
            service.finish(nodeId, runs[0]!);
          } else if (runs.length > 0) {
            service.running.get(nodeId)!.delete(runs[0]!);
            service.step(nodeId, { type: "CallerLeft", exchangeId: runs[0]! });
          }
        }
        expect(deaths).to.be.at.most(2);
        for (const node of service.nodes.values()) {
          for (const [name, suspect] of node.quarantine.ledger.suspects) {
            const isGuilty = name === FINGERPRINT;
            expect(suspect.quarantinedUntilMs > 0 && !isGuilty).to.equal(false);
          }
        }
      }),
      { seed: 9, numRuns: 300 },
    );
  });
});
