/** Simulated backend servers and a client that calls them, in 1 ms steps. */
import type { Announcement } from "../../membership/common/announcement.ts";
import { reduceRouting } from "../common/routing_reducer.ts";
import type { RoutingEvent } from "../common/routing_reducer.ts";
import { createRoutingState } from "../common/routing_state.ts";
import type { RoutingState } from "../common/routing_state.ts";
import { selectBackend } from "../common/select_backend.ts";

export const SERVICE = "provenance";
export const CLIENT = { nodeId: "client", dataCentre: "dc-a" };

export function createMember(
  nodeId: string,
  change: Partial<Announcement> = {},
): Announcement {
  return {
    nodeId,
    incarnation: 1,
    sequence: 0,
    service: SERVICE,
    dataCentre: "dc-a",
    region: "local",
    vm: nodeId,
    ingress: `${nodeId}:1`,
    operator: `${nodeId}:2`,
    slots: 50,
    connections: 400,
    isDraining: false,
    ...change,
  };
}

interface OpenAttempt {
  readonly nodeId: string;
  readonly startedAtMs: number;
  readonly endsAtMs: number;
  readonly result: "answered" | "failed" | "cancelled" | "refused";
}

/** Decides the duration and result of an attempt at a simulated server. */
export type Serve = (nodeId: string, nowMs: number) => {
  readonly durationMs: number;
  readonly result?: OpenAttempt["result"];
  readonly hintedLoad?: number;
};

/** A client that sends attempts at a constant rate. */
export class Simulation {
  state: RoutingState = createRoutingState(CLIENT);
  nowMs = 100_000;
  serve: Serve = () => ({ durationMs: 10 });
  #open: (OpenAttempt & { readonly hintedLoad: number | undefined })[] = [];
  #nextAttempt = 0;

  apply(event: RoutingEvent): void {
    this.state = reduceRouting(this.state, event, this.nowMs).state;
  }

  listMembers(members: readonly Announcement[]): void {
    this.apply({ type: "MembersListed", service: SERVICE, members });
  }

  /** Sends `perMs` attempts per millisecond; returns the counts by node id. */
  run(runMs: number, perMs = 1): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    const endMs = this.nowMs + runMs;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      this.#finish();
      for (let i = 0; i < perMs; i++) {
        const nodeId = this.#send();
        counts.set(nodeId, (counts.get(nodeId) ?? 0) + 1);
      }
    }
    return counts;
  }

  #send(): string {
    const attemptId = `attempt-${this.#nextAttempt++}`;
    const { nowMs } = this;
    const request = { service: SERVICE, attemptId, tried: [], nowMs };
    const { nodeId } = selectBackend(this.state, request)!.announcement;
    this.apply({ type: "AttemptStarted", service: SERVICE, nodeId });
    const { durationMs, result = "answered", hintedLoad } = this.serve(
      nodeId,
      nowMs,
    );
    const endsAtMs = nowMs + durationMs;
    this.#open.push({
      nodeId,
      startedAtMs: nowMs,
      endsAtMs,
      result,
      hintedLoad,
    });
    return nodeId;
  }

  #finish(): void {
    const ended = this.#open.filter((open) => open.endsAtMs <= this.nowMs);
    this.#open = this.#open.filter((open) => open.endsAtMs > this.nowMs);
    for (const { nodeId, startedAtMs, result, hintedLoad } of ended) {
      const latencyMs = this.nowMs - startedAtMs;
      const report = {
        service: SERVICE,
        nodeId,
        kind: "lookup",
        latencyMs,
        result,
        isDraining: false,
        hintedLoad,
      };
      this.apply({ type: "AttemptFinished", report });
    }
  }
}
