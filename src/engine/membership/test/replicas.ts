/** A few replicas' presence on one clock, with links that can be cut. */
import type { Announcement } from "../common/announcement.ts";
import { reduceMembership } from "../common/membership_reducer.ts";
import type { MembershipEvent } from "../common/membership_reducer.ts";
import { createMembership } from "../common/membership_state.ts";
import type { MembershipState } from "../common/membership_state.ts";
import type { MembershipEffect } from "../common/presence.ts";
import type { PresenceMessage } from "../common/presence_messages.ts";

/** What subscribers at one replica were told, in order. */
export type Publication = { readonly at: string; readonly told: string };

const STEP_MS = 250;

/** Replicas that a test drives by hand. */
export class Replicas {
  nowMs = 1_000_000;
  readonly states = new Map<string, MembershipState>();
  readonly published: Publication[] = [];
  readonly stopped = new Set<string>();
  /** `from>to` of links that lose every message. */
  readonly cuts = new Set<string>();
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

  cut(a: string, b: string): void {
    this.cuts.add(`${a}>${b}`).add(`${b}>${a}`);
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

  hear(id: string, nodeId: string, tableVersion = 1): void {
    const type = "NodeHeartbeatReceived";
    this.dispatch(id, { type, nodeId, tableVersion });
  }

  /** Passes time; `heard` are the heartbeats that arrive meanwhile. */
  pass(ms: number, heard: readonly (readonly [string, string])[] = []): void {
    for (let spent = 0; spent < ms; spent += STEP_MS) {
      this.nowMs += STEP_MS;
      for (const [id, nodeId] of heard) {
        this.hear(id, nodeId);
      }
      for (const id of this.states.keys()) {
        if (!this.stopped.has(id)) {
          this.dispatch(id, { type: "Ticked", tableVersion: 1 });
        }
      }
    }
  }

  list(id: string): readonly string[] {
    return [...this.states.get(id)!.members.keys()].toSorted();
  }

  #perform(from: string, effect: MembershipEffect): void {
    switch (effect.type) {
      case "PublishMember": {
        const { nodeId, sequence } = effect.announcement;
        this.published.push({ at: from, told: `${nodeId}/${sequence}` });
        return;
      }
      case "PublishMemberLoss":
        this.published.push({ at: from, told: `lost ${effect.nodeId}` });
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
    const isLost = this.stopped.has(to) || this.cuts.has(`${from}>${to}`);
    if (from === to || isLost) {
      return;
    }
    this.messageCount += 1;
    const channel = { type: "Dialled", replica: from } as const;
    this.dispatch(to, { type: "PresenceReceived", channel, message });
  }
}

/** Creates what a node says of itself. */
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
