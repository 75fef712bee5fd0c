/** State of a node about suspects: its own ledger, reports, and leased runs. */
import type { ClearedSuspects, KnownSuspects } from "./known_suspects.ts";
import { INITIAL_QUARANTINE } from "./quarantine_reducer.ts";
import type { Fingerprint, QuarantineState } from "./quarantine_reducer.ts";

/** The lease of a suspect, at the node that requested it. */
export interface LocalLease {
  readonly fingerprint: Fingerprint;
  /** `host:port` of the owner's ingress. */
  readonly owner: string;
  /** Undefined until the owner has replied. */
  readonly leaseId: number | undefined;
  readonly phase:
    /** The lease was requested from the owner. */
    | "asking"
    /** The run is in progress. */
    | "running"
    /** The run was abandoned here; the backend server may still execute it. */
    | "lingering"
    /** The run is over; the owner is notified until it acknowledges that. */
    | "ending";
  /** Whether the run did all its work, as its complete answer shows. */
  readonly isWhole: boolean;
  /** Start of this phase, steady clock in milliseconds. */
  readonly phaseStartedAtMs: number;
  /** When the owner was last notified, steady clock in milliseconds. */
  readonly notifiedAtMs: number;
}

/** A failed attempt, held until it is known whether the server crashed. */
export interface HeldFailure {
  readonly attemptId: string;
  readonly reason: string;
  /** Whether the backend server may have run it. */
  readonly isSent: boolean;
  /** Whether the connection to the backend server was reset. */
  readonly isReset: boolean;
  /** Whether the head of its answer had been sent. */
  readonly isCut: boolean;
}

/** Investigation of failures: whether the backend server crashed. */
export interface CrashWatch {
  /** Failures that are held until the investigation ends. */
  readonly heldFailures: readonly HeldFailure[];
  /** Ids of unacknowledged crash reports to nodes; empty while probing. */
  readonly pendingNotifications: ReadonlySet<string>;
  /** Ids of the attempts that ran at the crash; undefined while probing. */
  readonly suspectedAttempts: ReadonlySet<string> | undefined;
}

/** A run that was abandoned here; the backend server may still execute it. */
export interface AbandonedRun {
  readonly fingerprint: Fingerprint;
  /** When it no longer counts as running, steady clock in milliseconds. */
  readonly untilMs: number;
}

/** State of a node about suspects. */
export interface NodeQuarantine {
  /** State of the suspects that this node owns. */
  readonly ledger: QuarantineState;
  readonly known: KnownSuspects;
  readonly cleared: ClearedSuspects;
  /** When owners were last queried about suspects, steady clock in ms. */
  readonly checkedAtMs: number;
  /** By attempt id. */
  readonly leases: ReadonlyMap<string, LocalLease>;
  /** Undefined while no failure is investigated. */
  readonly watch: CrashWatch | undefined;
  readonly abandoned: readonly AbandonedRun[];
  /** Ids of the attempts at the last crash; they count for that crash only. */
  readonly lastSuspectedAttempts: ReadonlySet<string>;
  /** Sequence number of the next crash report. */
  readonly nextNotification: number;
}

/** State of a node when it starts. */
export const INITIAL_NODE_QUARANTINE: NodeQuarantine = {
  ledger: INITIAL_QUARANTINE,
  known: new Map(),
  cleared: new Map(),
  checkedAtMs: 0,
  leases: new Map(),
  watch: undefined,
  abandoned: [],
  lastSuspectedAttempts: new Set(),
  nextNotification: 0,
};
