/**
 * Which configurations may be in force at a time, from the answers to orders
 * and the disturbances of processes.
 */
import { findAcknowledgement, listPossibleOrders } from "./config_checks.ts";
import type { SoakDocument } from "./config_document.ts";
import type { ConfigMember } from "./config_fleet.ts";
import type { ConfigOrder } from "./config_operators.ts";

/** Time from an acknowledgement until each undisturbed node follows it. */
const APPLY_MS = 2_000;
/** Additional time while replicas are disturbed. */
const MAX_SKEW_MS = 5_000;
/** Time after a disturbance from which the bounds hold again. */
const SETTLING_MS = 3_000;

/** A configuration that may have come into force. */
export interface PossibleOrder {
  readonly document: SoakDocument;
  readonly sentAtMs: number;
  /** Infinity if it was not acknowledged. */
  readonly acknowledgedAtMs: number;
}

/** An interval of the monotonic clock. */
export interface Interval {
  readonly fromMs: number;
  readonly toMs: number;
}

/** The orders and disturbances of one soak test. */
export class ConfigHistory {
  /** By version. */
  readonly possible: readonly PossibleOrder[];
  readonly #members: ReadonlyMap<string, ConfigMember>;
  readonly #replicas: readonly ConfigMember[];

  constructor(
    orders: readonly ConfigOrder[],
    members: readonly ConfigMember[],
  ) {
    this.possible = listPossibleOrders(orders)
      .map((order) => ({
        document: order.document,
        sentAtMs: Math.min(...order.attempts.map(({ sentAtMs }) => sentAtMs)),
        acknowledgedAtMs: findAcknowledgement(order)?.endedAtMs ?? Infinity,
      }))
      .sort((a, b) => a.document.version - b.document.version);
    this.#members = new Map(members.map((member) => [member.name, member]));
    this.#replicas = members.filter(({ role }) => role === "replica");
  }

  /** Whether the bounds hold for a node, given its own disturbances. */
  isNodeCalm(name: string, { fromMs, toMs }: Interval): boolean {
    const settling = { fromMs: fromMs - SETTLING_MS, toMs };
    return isUndisturbed(this.#members.get(name)!, settling);
  }

  /** Whether no replica is disturbed, nor was shortly before. */
  areReplicasCalm({ fromMs, toMs }: Interval): boolean {
    const settling = { fromMs: fromMs - SETTLING_MS, toMs };
    return this.#replicas.every((replica) => isUndisturbed(replica, settling));
  }

  /**
   * Returns the time within which an undisturbed node must follow an
   * acknowledgement; Infinity if too many replicas are disturbed.
   */
  getBoundMs(interval: Interval): number {
    if (this.areReplicasCalm(interval)) {
      return APPLY_MS;
    }
    const boundMs = APPLY_MS + MAX_SKEW_MS;
    const fromMs = interval.fromMs - boundMs - SETTLING_MS;
    const calm = this.#replicas.filter((replica) =>
      isUndisturbed(replica, { fromMs, toMs: interval.toMs })
    );
    return 2 * calm.length > this.#replicas.length ? boundMs : Infinity;
  }

  /** Lists what an undisturbed node may have in force in an interval. */
  listAllowed(interval: Interval): readonly SoakDocument[] {
    const boundMs = this.getBoundMs(interval);
    const oldest = this.possible
      .findLast((order) => order.acknowledgedAtMs + boundMs < interval.fromMs);
    const oldestVersion = oldest?.document.version ?? 0;
    return this.possible
      .filter(({ sentAtMs, document }) =>
        sentAtMs <= interval.toMs && document.version >= oldestVersion
      )
      .map(({ document }) => document);
  }

  /** Names the process of a node at a time. */
  getProcess(name: string, atMs: number): string {
    const { startedAtMs } = this.#members.get(name)!;
    return `${name} ${startedAtMs.filter((startMs) => startMs <= atMs).length}`;
  }
}

/** Whether a process had no fault in an interval. */
function isUndisturbed(
  { disturbances }: ConfigMember,
  { fromMs, toMs }: Interval,
): boolean {
  return disturbances
    .every(({ startMs, endMs }) => endMs < fromMs || startMs > toMs);
}
