/** What the calls at an entry depend on. */
import type { CallLoop } from "../../../base/common/call_loop.ts";
import type { CallerReport, MeshFrame } from "../../mesh/common/frames.ts";
import type { CrashKnowledge } from "../../quarantine/common/crash_knowledge.ts";
import type { DrainTimes } from "./drain_decision.ts";
import type { RetryBudgetLimits } from "./entry_budget.ts";
import type { RetryCause } from "./entry_types.ts";
import type { MemberTable } from "./member_table.ts";
import type { MemoryShares } from "./memory_shares.ts";
import type { RelayLog } from "./relay_log.ts";

/** The links to the ingress addresses of other nodes. */
export interface MeshLinks {
  /** Sends a frame, on a new link if there is none. */
  readonly send: (address: string, frame: MeshFrame) => void;
  /** Cancels a call at a node, or drops its frames if they are still queued. */
  readonly withdraw: (address: string, call: number) => void;
  /**
   * Cancels a call at a node unless its backend server has received it; the node
   * then refuses it. Ignored unless the link is open.
   */
  readonly recall: (address: string, call: number) => void;
  /** Returns whether frames sent now leave at once. */
  readonly isOpen: (address: string) => boolean;
  /** Returns whether a link is being opened, so that no frame has left yet. */
  readonly isOpening: (address: string) => boolean;
  /**
   * Returns when the last message was received on a link; undefined without a
   * link and for this node's own address.
   */
  readonly getLastReceivedAtMs: (address: string) => number | undefined;
  /** Opens a link without a call, so that the node's reports are received. */
  readonly probe: (address: string) => void;
  /** Closes a link as lost. */
  readonly drop: (address: string, reason: string) => void;
}

/** What the entry calls depend on. */
export interface EntryCallsOptions {
  /** Limits on the bytes that are held. */
  readonly memory: MemoryShares;
  /** Data centre of this node, preferred when a member is chosen. */
  readonly dataCentre: string;
  readonly members: MemberTable;
  readonly budget: RetryBudgetLimits;
  readonly links: MeshLinks;
  /** Returns the times of the drain; undefined unless the node drains. */
  readonly getDrainTimes: () => DrainTimes | undefined;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
  /** Returns a random number from 0 to 1. */
  readonly draw: () => number;
  /** Returns the least urgent rank of the routes in force. */
  readonly getLastRank: () => number;
  readonly log: RelayLog;
  readonly loop: CallLoop;
  /** Receives the report of a gate about the services that call it. */
  readonly receiveCallerReport: (address: string, report: CallerReport) => void;
  /** Counts an attempt at a call of a service: the first, or a retry. */
  readonly recordAttempt: (
    service: string,
    cause: "first" | RetryCause,
  ) => void;
  /** Records the time from a call's arrival to its end, in milliseconds. */
  readonly recordCallDuration: (route: string, elapsedMs: number) => void;
  /** What this node knows of requests that end backend servers. */
  readonly crashes: CrashKnowledge;
  /** Returns the service on whose VM the calls begin. */
  readonly getCallerService: () => string;
}
