/** What the calls at a gate depend on. */
import type { CallLoop } from "../../../base/common/call_loop.ts";
import type { AnswerProof } from "../../quarantine/common/answer_proof.ts";
import type { CrashKnowledge } from "../../quarantine/common/crash_knowledge.ts";
import type { CallDialect } from "../common/dialect.ts";
import type { DrainTimes } from "../common/drain_decision.ts";
import type { MemoryShares } from "../common/memory_shares.ts";
import type { RelayLog } from "../common/relay_log.ts";
import type { BackendRun } from "../common/repeated_runs.ts";
import type { SuspectOutcome } from "../common/suspect_refusal.ts";
import type { EndSign } from "./gate_crashes.ts";
import type { LimitedOutcome } from "./gate_statements.ts";

/** What the gate's calls depend on. */
export interface GateCallsOptions {
  /** Limits on the bytes that are held. */
  readonly memory: MemoryShares;
  readonly dialect: CallDialect;
  /** Returns the times of the drain; undefined unless the node drains. */
  readonly getDrainTimes: () => DrainTimes | undefined;
  /** Steady clock, in milliseconds. */
  readonly readClock: () => number;
  readonly log: RelayLog;
  readonly loop: CallLoop;
  /** Whether the capacity is measured, and root requests are planned by it. */
  readonly isRoomMeasured: () => boolean;
  /** Whether the service of the backend server is known to call no other. */
  readonly isLeaf: () => boolean;
  /** Returns the maximum number of connections to the backend server. */
  readonly maxConnections: () => number;
  /** Returns the latency objective of a route, in milliseconds. */
  readonly getObjectiveMs: (route: string) => number;
  /** Records that a run at the backend server begins (1) or ends (-1). */
  readonly recordRun: (run: BackendRun, change: 1 | -1) => void;
  /** Records the arrival of a call that was made on a VM of a service. */
  readonly recordArrival: (route: string, callerService: string) => void;
  /** Counts a call under a rate limit of the backend server. */
  readonly recordLimitedCall: (
    service: string,
    outcome: LimitedOutcome,
  ) => void;
  /** Called if the backend server said in an answer that it leaves. */
  readonly onBackendLeaving: () => void;
  /** Called if the backend server refuses connections or was replaced. */
  readonly onBackendLost: () => void;
  /** Address at which other nodes reach this one. */
  readonly ingress: string;
  /** What this node knows of requests that end backend servers. */
  readonly crashes: CrashKnowledge;
  /** Counts an end of the backend server, by what showed it. */
  readonly countEnd: (service: string, sign: EndSign) => void;
  /** Counts a call of a suspect, by what became of it. */
  readonly countSuspect: (service: string, outcome: SuspectOutcome) => void;
  /** Counts an answer to a suspect, by what it proves. */
  readonly countProof: (service: string, proof: AnswerProof) => void;
}
