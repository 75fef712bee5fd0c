/** Event types of the time line, which covers all processes. */
import type { CallOutcome } from "../../call/common/call_context.ts";

/** An event of the time line. */
export type TimelineEvent =
  | { readonly type: "ProcessStarted"; readonly role: "node" | "control" }
  | { readonly type: "ProcessStopped" }
  | { readonly type: "DrainStarted" }
  | { readonly type: "DrainEnded" }
  | {
    readonly type: "EditAccepted";
    readonly version: number;
    readonly editId: string;
    readonly operator: string;
  }
  | {
    readonly type: "EditRefused";
    readonly editId: string;
    readonly operator: string;
    readonly reason: string;
  }
  | {
    readonly type: "TableInForce";
    readonly version: number;
    readonly isConfirmed: boolean;
  }
  | {
    readonly type: "LeaderChanged";
    readonly term: number;
    /** The leader's id in the settings; `none` if no leader is known. */
    readonly leader: string;
  }
  /** Nothing was received from a replica for some time. */
  | { readonly type: "ReplicaSilent"; readonly replica: string }
  /** Messages from a silent replica are received again. */
  | { readonly type: "ReplicaHeard"; readonly replica: string }
  /** A replica has become a voter. */
  | { readonly type: "ReplicaJoined"; readonly replica: string }
  /** A new set of holders stores the idempotency keys of a service. */
  | {
    readonly type: "HoldersChanged";
    readonly service: string;
    readonly epoch: number;
    readonly nodeIds: readonly string[];
  }
  | { readonly type: "NodeJoined"; readonly nodeId: string }
  | { readonly type: "NodeLost"; readonly nodeId: string }
  /** The local backend server crashed; the requests that it ran are suspects. */
  | { readonly type: "BackendCrashed"; readonly suspects: number }
  /** A suspect is allowed to run at this node, alone. */
  | { readonly type: "SuspectRun"; readonly fingerprint: string }
  /** A request that crashes backend servers is refused for `lengthMs`. */
  | {
    readonly type: "RequestQuarantined";
    /** Kind and digest of the request. */
    readonly fingerprint: string;
    readonly lengthMs: number;
  }
  /** A suspect ran without a crash, or its record was evicted. */
  | { readonly type: "SuspectCleared"; readonly fingerprint: string }
  | {
    readonly type: "CallStarted";
    readonly requestId: string;
    readonly kind: string;
    readonly depth: number;
  }
  | {
    readonly type: "AttemptSent";
    readonly requestId: string;
    readonly attemptId: string;
    readonly to: string;
  }
  | {
    readonly type: "AttemptRun";
    readonly requestId: string;
    readonly attemptId: string;
  }
  | {
    readonly type: "AttemptRefused";
    readonly requestId: string;
    readonly attemptId: string;
    readonly kind: string;
    readonly importance: number;
    /** A `RefusalReason`, or a description. */
    readonly reason: string;
  }
  /**
   * Refused at its entry node: the backend servers would refuse it (`early`), or
   * its caller resends too often (`resend`).
   */
  | {
    readonly type: "CallRefused";
    readonly requestId: string;
    readonly kind: string;
    readonly importance: number;
    readonly reason: "early" | "resend";
  }
  | {
    readonly type: "CallEnded";
    readonly requestId: string;
    readonly kind: string;
    readonly status: number;
    readonly outcome: CallOutcome;
  };

/** A timestamp of a hybrid logical clock (Kulkarni et al., 2014). */
export interface HybridTime {
  /** Largest wall clock observed, in milliseconds. */
  readonly wallMs: number;
  /** Orders events with the same `wallMs`. */
  readonly counter: number;
}

/** An event with its timestamp and the process that recorded it. */
export interface TimelineRecord {
  readonly at: HybridTime;
  readonly process: string;
  readonly dataCentre: string;
  readonly event: TimelineEvent;
}

/** Compares records by clock, then by process. */
export function compareRecords(a: TimelineRecord, b: TimelineRecord): number {
  return a.at.wallMs - b.at.wallMs || a.at.counter - b.at.counter ||
    (a.process < b.process ? -1 : a.process > b.process ? 1 : 0);
}
