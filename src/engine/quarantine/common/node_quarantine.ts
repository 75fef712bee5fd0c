/** What a node keeps of suspects: its ledger, what it was told, its runs. */
import type { ClearedSuspects, KnownSuspects } from "./known_suspects.ts";
import { INITIAL_QUARANTINE } from "./quarantine_reducer.ts";
import type { Fingerprint, QuarantineState } from "./quarantine_reducer.ts";

/** A suspect's lease at the node that asked for it. */
export interface LocalLease {
  readonly fingerprint: Fingerprint;
  /** `host:port` of the owner's ingress. */
  readonly owner: string;
  /** Undefined until the owner has answered. */
  readonly leaseId: number | undefined;
  readonly phase:
    | "asking"
    | "running"
    /** Given up here; the backend server may still be at it. */
    | "lingering"
    /** Over; the owner is told until it says so. */
    | "ending";
  readonly isWhole: boolean;
  /** When this phase began, wall clock in milliseconds. */
  readonly phaseStartedAtMs: number;
  /** When the owner was last told, wall clock in milliseconds. */
  readonly notifiedAtMs: number;
}

/** An attempt whose failure is held until it is known whether it crashed. */
export interface HeldFailure {
  readonly attemptId: string;
  readonly reason: string;
  readonly isReset: boolean;
  /** Whether the head of its answer had gone out. */
  readonly isCut: boolean;
}

/** A failure under investigation. */
export interface CrashWatch {
  readonly heldFailures: readonly HeldFailure[];
  /** Request ids of nodes that were not yet told; empty while probing. */
  readonly pendingNotifications: ReadonlySet<string>;
  /** Attempts that ran at the crash; undefined while probing. */
  readonly suspectedAttempts: ReadonlySet<string> | undefined;
}

/** A run that was given up here, while the backend server may go on. */
export interface AbandonedRun {
  readonly fingerprint: Fingerprint;
  /** Wall clock in milliseconds. */
  readonly untilMs: number;
}

/** All that a node knows of suspects. */
export interface NodeQuarantine {
  /** Of the suspects that this node owns. */
  readonly ledger: QuarantineState;
  readonly known: KnownSuspects;
  readonly cleared: ClearedSuspects;
  /** When owners were last asked about suspects, wall clock. */
  readonly checkedAtMs: number;
  /** By attempt id. */
  readonly leases: ReadonlyMap<string, LocalLease>;
  readonly watch: CrashWatch | undefined;
  readonly abandoned: readonly AbandonedRun[];
  /** Attempts that ran at the last crash: they count for it alone. */
  readonly lastSuspectedAttempts: ReadonlySet<string>;
  /** Numbers the messages that it tells. */
  readonly nextNotification: number;
}

/** A node that has just started. */
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
