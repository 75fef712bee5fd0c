/** The typed events of the time line over all processes. */
import type { CallOutcome } from "../../call/common/call_context.ts";

/** Something worth seeing on the time line. */
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
    /** Id in the settings; `none` where no leader is known. */
    readonly leader: string;
  }
  | { readonly type: "ReplicaSilent"; readonly replica: string }
  | { readonly type: "ReplicaHeard"; readonly replica: string }
  /** A replica begins to vote. */
  | { readonly type: "ReplicaJoined"; readonly replica: string }
  /** Other nodes keep the idempotency keys of a service from here on. */
  | {
    readonly type: "HoldersChanged";
    readonly service: string;
    readonly epoch: number;
    readonly nodeIds: readonly string[];
  }
  | { readonly type: "NodeJoined"; readonly nodeId: string }
  | { readonly type: "NodeLost"; readonly nodeId: string }
  /** The local backend server died; what it ran is suspect. */
  | { readonly type: "BackendCrashed"; readonly suspects: number }
  /** A suspect may run here, alone. */
  | { readonly type: "SuspectRun"; readonly fingerprint: string }
  /** A request that crashes backend servers is refused for a time. */
  | {
    readonly type: "RequestQuarantined";
    /** Kind and digest. */
    readonly fingerprint: string;
    readonly lengthMs: number;
  }
  /** A suspect ran whole, or was forgotten. */
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
    /** A `RefusalReason`, or a sentence. */
    readonly reason: string;
  }
  /**
   * Refused where it entered: the backend servers would refuse it (`early`),
   * or its caller sends too much again (`resend`).
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

/** A point of a hybrid logical clock (Kulkarni et al., 2014). */
export interface HybridTime {
  /** Largest wall clock seen, in milliseconds. */
  readonly wallMs: number;
  /** Orders events of one `wallMs`. */
  readonly counter: number;
}

/** An event as a process keeps it. */
export interface TimelineRecord {
  readonly at: HybridTime;
  readonly process: string;
  readonly dataCentre: string;
  readonly event: TimelineEvent;
}

/** Orders records: by clock, then by process. */
export function compareRecords(a: TimelineRecord, b: TimelineRecord): number {
  return a.at.wallMs - b.at.wallMs || a.at.counter - b.at.counter ||
    (a.process < b.process ? -1 : a.process > b.process ? 1 : 0);
}
