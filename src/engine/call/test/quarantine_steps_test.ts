/**
 * Suspects on several nodes of a service: which node may run one, and when the
 * nodes are notified.
 */
import { expect } from "chai";
import fc from "fast-check";
import { encodeContext } from "../common/call_context.ts";
import type { NodeEffect, NodeEvent } from "../common/call_events.ts";
import { reduceNode } from "../common/node_reducer.ts";
import type { NodeState } from "../common/node_state.ts";
import { findOwner } from "../common/quarantine_steps.ts";
import { createMember, createNode, ROW } from "./node_network.ts";

/** Digest of a request that crashes each backend server that runs it. */
const GUILTY_DIGEST = "guilty";
const GUILTY_FINGERPRINT = `${ROW.kind}|${GUILTY_DIGEST}`;
const MEMBERS = [0, 1, 2, 3].map((i) => createMember(i));

/** Nodes whose messages are delivered immediately, or held by the test. */
class TestService {
  readonly nodes = new Map<string, NodeState>();
  /** Status codes by exchange id. */
  readonly answers = new Map<string, number>();
  /** Deliver one held message each. */
  readonly heldDeliveries: (() => void)[] = [];
  /** Types of the recorded events. */
  readonly events: string[] = [];
  /** Attempts running at each backend server, by node id. */
  readonly running = new Map<string, Set<string>>();
  /** Whether messages between nodes are held. */
  isHolding = false;
  /** Node to which no message is delivered; its senders get no reply. */
  silentNodeId: string | undefined;
  /** What a probe finds after a crash. */
  isBackendAlive = false;
  nowMs = 1_000_000;
  #nextId = 0;
  readonly #replyCallbacks = new Map<number, (reply: object) => void>();

  constructor() {
    for (const member of MEMBERS) {
      const node = createNode(member, ROW, MEMBERS);
      this.nodes.set(member.nodeId, node);
      this.running.set(member.nodeId, new Set());
    }
  }

  /** Receives an attempt with this digest at a node; returns its id. */
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

  /** Resets all attempts at a backend server, then probes it. */
  crash(nodeId: string): void {
    const lostIds = [...this.running.get(nodeId)!];
    this.running.get(nodeId)!.clear();
    for (const attemptId of lostIds) {
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
    this.step(nodeId, { type: "BackendProbed", isAlive: this.isBackendAlive });
  }

  /** Answers an attempt completely. */
  finish(nodeId: string, attemptId: string, status = 200): void {
    this.running.get(nodeId)!.delete(attemptId);
    const answer = { status, outcome: "ran", tokens: 0 } as const;
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
        this.#askPeer(nodeId, effect);
        return;
      case "AnswerPeer":
        this.#replyCallbacks.get(effect.askId)!(effect.reply);
        return;
    }
  }

  #askPeer(
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
      if (target === this.silentNodeId) {
        reply(undefined);
        return;
      }
      const askId = this.#nextId++;
      this.#replyCallbacks.set(askId, reply);
      this.step(target, { type: "PeerAsked", askId, message });
    };
    if (this.isHolding) {
      this.heldDeliveries.push(deliver);
      return;
    }
    deliver();
  }
}

describe("suspects among the nodes of a service", () => {
  // Guards against an answer that clears a request whose run stopped early.
  it("stay suspect if a run is answered with an error", () => {
    for (const status of [500, 504]) {
      const service = new TestService();
      service.receive("n0", GUILTY_DIGEST);
      service.crash("n0");
      const second = service.receive("n1", GUILTY_DIGEST);
      service.finish("n1", second, status);
      const third = service.receive("n1", GUILTY_DIGEST);
      expect(service.isRunning("n1", third)).to.equal(true);
      service.crash("n1");
      const fourth = service.receive("n2", GUILTY_DIGEST);
      expect(service.isRunning("n2", fourth), `${status}`).to.equal(false);
      expect(service.answers.get(fourth)).to.equal(422);
    }
  });

  it("run at one node at a time, and nowhere after the second crash", () => {
    const service = new TestService();
    service.receive("n0", GUILTY_DIGEST);
    service.crash("n0");
    const second = service.receive("n1", GUILTY_DIGEST);
    expect(service.isRunning("n1", second)).to.equal(true);
    const third = service.receive("n2", GUILTY_DIGEST);
    expect(service.isRunning("n2", third)).to.equal(false);
    expect(service.answers.get(third)).to.equal(503);
    service.crash("n1");
    for (const { nodeId } of MEMBERS) {
      const later = service.receive(nodeId, GUILTY_DIGEST);
      expect(service.isRunning(nodeId, later)).to.equal(false);
      expect(service.answers.get(later)).to.equal(422);
    }
    expect(service.events).to.include("RequestQuarantined");
  });

  it("are known to all nodes before the crashed attempt is answered", () => {
    const service = new TestService();
    const first = service.receive("n0", GUILTY_DIGEST);
    service.isHolding = true;
    service.crash("n0");
    expect(service.answers.has(first)).to.equal(false);
    service.isHolding = false;
    service.heldDeliveries.splice(0).forEach((deliver) => deliver());
    expect(service.answers.get(first)).to.equal(502);
    for (const node of service.nodes.values()) {
      expect([...node.quarantine.known.keys()]).to.deep.equal([
        GUILTY_FINGERPRINT,
      ]);
    }
  });

  it("run at no node while their owner does not reply", () => {
    const service = new TestService();
    service.receive("n0", GUILTY_DIGEST);
    service.crash("n0");
    const { nodeId: owner } = findOwner(
      service.nodes.get("n0")!,
      GUILTY_FINGERPRINT,
    )!;
    const other = MEMBERS.find(({ nodeId }) => nodeId !== owner)!.nodeId;
    service.silentNodeId = owner;
    const refused = service.receive(other, GUILTY_DIGEST);
    expect(service.isRunning(other, refused)).to.equal(false);
    expect(service.answers.get(refused)).to.equal(503);
    service.silentNodeId = undefined;
    service.nowMs += 2_000;
    service.step(other, { type: "Ticked" });
    const granted = service.receive(other, GUILTY_DIGEST);
    expect(service.isRunning(other, granted)).to.equal(true);
  });

  it("are reported to a node that joins", () => {
    const service = new TestService();
    service.receive("n0", GUILTY_DIGEST);
    service.crash("n0");
    const restarted = { ...MEMBERS[3]!, incarnation: 2 };
    service.nodes.set("n3", createNode(restarted, ROW, MEMBERS));
    for (const { nodeId } of MEMBERS) {
      service.step(nodeId, {
        type: "MemberPublished",
        announcement: restarted,
      });
    }
    const { known } = service.nodes.get("n3")!.quarantine;
    expect([...known.keys()]).to.deep.equal([GUILTY_FINGERPRINT]);
  });

  it("are not created by one reset if the backend server is alive", () => {
    const service = new TestService();
    service.isBackendAlive = true;
    const cut = service.receive("n0", GUILTY_DIGEST);
    service.crash("n0");
    expect(service.answers.get(cut)).to.equal(502);
    expect(service.nodes.get("n1")!.quarantine.known.size).to.equal(0);
  });

  it("are created if all attempts were reset, though the process is back", () => {
    const service = new TestService();
    service.isBackendAlive = true;
    service.receive("n0", GUILTY_DIGEST);
    service.receive("n0", "other");
    service.crash("n0");
    expect(service.nodes.get("n1")!.quarantine.known.size).to.equal(2);
  });

  it("are counted once per crash, though the failures arrive one by one", () => {
    const service = new TestService();
    const innocent = service.receive("n0", "innocent");
    const late = service.receive("n0", GUILTY_DIGEST);
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

  it("are not quarantined for a crash beside an earlier suspect", () => {
    const service = new TestService();
    service.receive("n0", GUILTY_DIGEST);
    service.receive("n0", "innocent");
    // Runs at n1 during the second crash too, and so explains both crashes.
    service.receive("n1", GUILTY_DIGEST);
    service.crash("n0");
    const leasedRun = service.receive("n1", "innocent");
    expect(service.isRunning("n1", leasedRun)).to.equal(true);
    service.crash("n1");
    const rerun = service.receive("n2", "innocent");
    expect(service.isRunning("n2", rerun)).to.equal(true);
    service.finish("n2", rerun);
    for (const node of service.nodes.values()) {
      expect([...node.quarantine.known.keys()]).to.deep.equal([
        GUILTY_FINGERPRINT,
      ]);
    }
  });

  it("are forgotten by a node that missed the word of their owner", () => {
    const service = new TestService();
    service.receive("n0", "innocent");
    service.crash("n0");
    const rerun = service.receive("n1", "innocent");
    const owner = findOwner(
      service.nodes.get("n1")!,
      `${ROW.kind}|innocent`,
    )!.nodeId;
    service.silentNodeId =
      MEMBERS.find(({ nodeId }) => nodeId !== owner && nodeId !== "n1")!.nodeId;
    // The owner clears the suspect; the silent node misses the notification.
    service.finish("n1", rerun);
    const uninformedNodeId = service.silentNodeId;
    service.silentNodeId = undefined;
    expect(service.nodes.get(uninformedNodeId)!.quarantine.known.size).to.equal(
      1,
    );
    service.nowMs += 4_000;
    service.step(uninformedNodeId, { type: "Ticked" });
    expect(service.nodes.get(uninformedNodeId)!.quarantine.known.size).to.equal(
      0,
    );
  });

  it("aren't made anew by the word of a crash that comes last", () => {
    const service = new TestService();
    service.receive("n0", "innocent");
    service.isHolding = true;
    service.crash("n0");
    service.isHolding = false;
    const notifications = service.heldDeliveries.splice(0);
    notifications.shift()!();
    const rerun = service.receive("n1", "innocent");
    service.finish("n1", rerun);
    // The crash is reported to these nodes after the suspect was cleared.
    notifications.forEach((deliver) => deliver());
    for (const { quarantine } of service.nodes.values()) {
      expect([...quarantine.known.keys()]).to.deep.equal([]);
      expect([...quarantine.ledger.suspects.keys()]).to.deep.equal([]);
    }
  });

  // Guards against an innocent request that a node which doesn't know of the
  // crash answers first, and that stays suspect as nobody sends it again.
  it("are known to all nodes before an unsent attempt is answered", () => {
    const service = new TestService();
    service.receive("n0", GUILTY_DIGEST);
    const unsent = service.receive("n0", "innocent");
    service.running.get("n0")!.delete(unsent);
    service.isHolding = true;
    service.crash("n0");
    service.step("n0", {
      type: "AttemptFailed",
      attemptId: unsent,
      isSent: false,
      reason: "connection refused",
    });
    expect(service.answers.has(unsent)).to.equal(false);
    service.isHolding = false;
    service.heldDeliveries.splice(0).forEach((deliver) => deliver());
    expect(service.answers.get(unsent)).to.equal(503);
    const rerun = service.receive("n1", "innocent");
    service.finish("n1", rerun);
    for (const { quarantine } of service.nodes.values()) {
      expect([...quarantine.known.keys()]).to.deep.equal([GUILTY_FINGERPRINT]);
    }
  });

  it("crash at most two backend servers, whatever runs beside them", () => {
    const nodeIds = fc.constantFrom(...MEMBERS.map(({ nodeId }) => nodeId));
    const digest = fc.constantFrom("a", "b", "c", "d");
    const action = fc.record({
      type: fc.constantFrom("resend", "innocent", "finish", "tick", "leave"),
      nodeId: nodeIds,
      digest,
    });
    fc.assert(
      fc.property(fc.array(action, { maxLength: 80 }), (actions) => {
        const service = new TestService();
        let crashCount = 0;
        for (const { type, nodeId, digest } of actions) {
          service.nowMs += 200;
          const runningIds = [...service.running.get(nodeId)!];
          if (type === "resend") {
            const attemptId = service.receive(nodeId, GUILTY_DIGEST);
            if (service.isRunning(nodeId, attemptId)) {
              crashCount += 1;
              service.crash(nodeId);
            }
          } else if (type === "innocent") {
            service.receive(nodeId, digest);
          } else if (type === "tick") {
            service.step(nodeId, { type: "Ticked" });
          } else if (runningIds.length > 0 && type === "finish") {
            service.finish(nodeId, runningIds[0]!);
          } else if (runningIds.length > 0) {
            service.running.get(nodeId)!.delete(runningIds[0]!);
            service.step(nodeId, {
              type: "CallerLeft",
              exchangeId: runningIds[0]!,
            });
          }
        }
        expect(crashCount).to.be.at.most(2);
        for (const node of service.nodes.values()) {
          for (
            const [fingerprint, suspect] of node.quarantine.ledger.suspects
          ) {
            const isGuilty = fingerprint === GUILTY_FINGERPRINT;
            expect(suspect.quarantinedUntilMs > 0 && !isGuilty).to.equal(false);
          }
        }
      }),
      { seed: 9, numRuns: 300 },
    );
  });
});
