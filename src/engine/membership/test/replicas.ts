/** Simulates the presence of a few replicas on one clock, with lossy links. */
import type { Announcement } from "../common/announcement.ts";
import { reduceMembership } from "../common/membership_reducer.ts";
import type { MembershipEvent } from "../common/membership_reducer.ts";
import { createMembership } from "../common/membership_state.ts";
import type { MembershipState } from "../common/membership_state.ts";
import type { MembershipEffect } from "../common/presence.ts";
import type { PresenceMessage } from "../common/presence_messages.ts";

/** A notification that a replica sent to its subscribers. */
export type Publication = {
  readonly at: string;
  readonly notification: string;
};

const STEP_MS = 250;

/** Replicas whose events and clock are driven by a test. */
export class Replicas {
  nowMs = 1_000_000;
  readonly states = new Map<string, MembershipState>();
  readonly published: Publication[] = [];
  readonly stopped = new Set<string>();
  /** Directions of links, as `from>to`, that lose every message. */
  readonly brokenLinks = new Set<string>();
  messageCount = 0;

  constructor(...ids: readonly string[]) {
    for (const id of ids) {
      this.start(id);
    }
  }

  start(id: string): void {
    this.stopped.delete(id);
    this.states.set(id, createMembership(id, this.nowMs));
  }

  disconnect(a: string, b: string): void {
    this.brokenLinks.add(`${a}>${b}`).add(`${b}>${a}`);
  }

  dispatch(id: string, event: MembershipEvent): void {
    const step = reduceMembership(this.states.get(id)!, event, this.nowMs);
    this.states.set(id, step.state);
    for (const effect of step.effects) {
      this.#perform(id, effect);
    }
  }

  announce(id: string, nodeId: string, linkNumber = 1, sequence = 0): void {
    this.dispatch(id, {
      type: "NodeAnnounced",
      announcement: createAnnouncement(nodeId, sequence),
      linkNumber,
      tableVersion: 1,
    });
  }

  receiveHeartbeat(id: string, nodeId: string, tableVersion = 1): void {
    const type = "NodeHeartbeatReceived";
    this.dispatch(id, { type, nodeId, tableVersion });
  }

  /**
   * Advances the clock with ticks; `heartbeats` are pairs of replica and node,
   * received at each tick.
   */
  advance(
    ms: number,
    heartbeats: readonly (readonly [string, string])[] = [],
  ): void {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
      this.nowMs += STEP_MS;
      for (const [id, nodeId] of heartbeats) {
        this.receiveHeartbeat(id, nodeId);
      }
      for (const id of this.states.keys()) {
        if (!this.stopped.has(id)) {
          this.dispatch(id, { type: "Ticked", tableVersion: 1 });
        }
      }
    }
  }

  listNodes(id: string): readonly string[] {
    return [...this.states.get(id)!.members.keys()].toSorted();
  }

  #perform(from: string, effect: MembershipEffect): void {
    switch (effect.type) {
      case "PublishMember": {
        const { nodeId, sequence } = effect.announcement;
        this.published.push({
          at: from,
          notification: `${nodeId}/${sequence}`,
        });
        return;
      }
      case "PublishMemberLoss":
        this.published.push({
          at: from,
          notification: `lost ${effect.nodeId}`,
        });
        return;
      case "SendPresence":
        for (const to of this.states.keys()) {
          this.#send(from, to, effect.message);
        }
        return;
      case "ReplyPresence":
        if (effect.channel.type === "Dialled") {
          this.#send(from, effect.channel.replica, effect.message);
        }
    }
  }

  #send(from: string, to: string, message: PresenceMessage): void {
    const isLost = this.stopped.has(to) ||
      this.brokenLinks.has(`${from}>${to}`);
    if (from === to || isLost) {
      return;
    }
    this.messageCount += 1;
    const channel = { type: "Dialled", replica: from } as const;
    this.dispatch(to, { type: "PresenceReceived", channel, message });
  }
}

/** Creates the announcement of a node. */
export function createAnnouncement(
  nodeId: string,
  sequence = 0,
): Announcement {
  return {
    nodeId,
    incarnation: 1,
    sequence,
    service: "provenance",
    dataCentre: "kenitra-a",
    region: "ma-north",
    vm: nodeId,
    ingress: "10.0.0.1:7000",
    operator: "10.0.0.1:7001",
    slots: 50,
    connections: 400,
    isDraining: sequence > 0,
  };
}
