/** State of a node: its calls, and what its areas need to decide on them. */
import { createAdmission } from "../../admission/common/admission_reducer.ts";
import type { AdmissionState } from "../../admission/common/admission_types.ts";
import type { LevelView } from "../../admission/common/level_view.ts";
import type { RequestKey } from "../../claims/common/claim_types.ts";
import { INITIAL_NODE_CLAIMS } from "../../claims/common/node_claims.ts";
import type { NodeClaims } from "../../claims/common/node_claims.ts";
import type { Subscriptions } from "../../link/common/subscriptions.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import { EMPTY_RESEND_BUDGETS } from "../../retry/common/resend_budget.ts";
import type { ResendBudgets } from "../../retry/common/resend_budget.ts";
import type { Fingerprint } from "../../quarantine/common/quarantine_reducer.ts";
import { INITIAL_NODE_QUARANTINE } from "../../quarantine/common/node_quarantine.ts";
import type { NodeQuarantine } from "../../quarantine/common/node_quarantine.ts";
import { EMPTY_BUDGET } from "../../retry/common/retry_budget.ts";
import type { RetryBudget } from "../../retry/common/retry_budget.ts";
import type { TokenPool } from "../../retry/common/retry_tokens.ts";
import { NO_SETTLED } from "../../retry/common/settled_attempts.ts";
import type { SettledAttempts } from "../../retry/common/settled_attempts.ts";
import { createRoutingState } from "../../routing/common/routing_state.ts";
import type { RoutingState } from "../../routing/common/routing_state.ts";
import { EMPTY_TABLE } from "../../table/common/table_row.ts";
import type { Table, TableRow } from "../../table/common/table_row.ts";
import type { CallContext } from "./call_context.ts";
import type { CalleeView } from "./call_level.ts";

/** An attempt that an entry call has sent. */
export interface Attempt {
  readonly attemptId: string;
  /** Id of the node of the selected backend server. */
  readonly nodeId: string;
  /**
   * Incarnation of that node: number of its process instance, which changes
   * when the node restarts.
   */
  readonly incarnation: number;
  /** `host:port` of that node's ingress. */
  readonly address: string;
  /** When it was sent, on the steady clock in milliseconds. */
  readonly startedAtMs: number;
  /** Retry tokens that were handed to it. */
  readonly tokens: number;
  /**
   * When it was last known to be in progress, because it was sent or its
   * receiver confirmed it; steady clock in milliseconds.
   */
  readonly heardAtMs: number;
  /** Whether a status request for it is pending. */
  readonly isAsked: boolean;
  /** Whether its connection failed after a byte was sent. */
  readonly isBroken: boolean;
  /** Consecutive status requests that showed no progress. */
  readonly misses: number;
}

/**
 * A call that enters the system at this node: a root request from a caller, or
 * a call that the local backend server makes.
 */
export interface EntryCall {
  readonly exchangeId: string;
  readonly listener: "edge" | "egress";
  readonly row: TableRow;
  /** Context of the call; each attempt gets an id and tokens of its own. */
  readonly context: CallContext;
  /** Id of the served attempt that made this call, where known. */
  readonly parentId: string | undefined;
  /** Steady clock in milliseconds. */
  readonly deadlineMs: number;
  /** Retry tokens that its attempts and the calls below it may spend. */
  readonly pool: TokenPool;
  readonly isReplayable: boolean;
  /** The attempt in progress; undefined before the first and once it ended. */
  readonly attempt: Attempt | undefined;
  readonly attemptCount: number;
  /** Ids of the nodes that attempts were sent to. */
  readonly tried: readonly string[];
  /** Attempts that were sent without a retry token; see `MAX_REROUTES`. */
  readonly rerouteCount: number;
  /** Whether every ended attempt provably did not run. */
  readonly isNotRun: boolean;
  /** Whether an answer is being relayed to the caller. */
  readonly isRelaying: boolean;
  /** Whether the next attempt replaces one that never arrived. */
  readonly isReplacing?: boolean;
  /** The attempt whose answer is being relayed. */
  readonly relayed?: Attempt;
  readonly requestKey: RequestKey | undefined;
  /** See `CallReceived`. */
  readonly digest?: string | undefined;
}

/** An attempt that the local backend server runs or will run. */
export interface ServedCall {
  readonly attemptId: string;
  readonly exchangeId: string;
  /** `ingress`: from another node; `local`: from an entry call of this node. */
  readonly origin: "ingress" | "local";
  readonly row: TableRow;
  readonly context: CallContext;
  /** Steady clock in milliseconds. */
  readonly deadlineMs: number;
  /** Retry tokens for the calls that the backend server makes. */
  readonly pool: TokenPool;
  readonly phase: "queued" | "running" | "relaying" | "blocked";
  readonly requestKey: RequestKey | undefined;
  /** See `createFingerprint`; undefined where the digest is not known. */
  readonly fingerprint?: Fingerprint | undefined;
  /** Status of an answer that is buffered until its outcome is stored. */
  readonly collectedStatus?: number;
  /** Status of the answer that is being relayed; undefined before. */
  readonly answeredStatus?: number;
  /**
   * Whether it continues without a caller, so that a resend of its idempotency
   * key gets its answer.
   */
  readonly isDetached?: boolean;
  /**
   * Since when it has open calls of its own, on the steady clock in
   * milliseconds; undefined while it has none.
   */
  readonly downstreamSinceMs?: number | undefined;
  /** Total time of earlier such intervals, in milliseconds. */
  readonly downstreamMs?: number;
}

/** A table that is not in force yet; see `receiveTable`. */
export interface TableCandidate {
  readonly table: Table;
  /** When the first candidate arrived, on the steady clock in milliseconds. */
  readonly sinceMs: number;
}

/** State of a node. */
export interface NodeState {
  /** Announcement of this node, as other nodes see it. */
  readonly self: Announcement;
  /** `host:port` of the local backend server. */
  readonly backendAddress: string;
  readonly table: Table;
  /** Whether a quorum of control replicas confirmed the table. */
  readonly isTableConfirmed: boolean;
  /** Unconfirmed table of the highest version, while none is in force. */
  readonly tableCandidate: TableCandidate | undefined;
  /** Entry calls by exchange id. */
  readonly entries: ReadonlyMap<string, EntryCall>;
  /** Exchange ids of entry calls, by the id of the attempt in progress. */
  readonly entryOfAttempt: ReadonlyMap<string, string>;
  /** Served attempts by attempt id. */
  readonly served: ReadonlyMap<string, ServedCall>;
  /**
   * When the local backend server last sent the head of an answer, on the
   * steady clock in milliseconds; 0 before the first one.
   */
  readonly backendHeardMs: number;
  /** Exchange ids of the open calls of served attempts, by attempt id. */
  readonly childrenOf: ReadonlyMap<string, readonly string[]>;
  /** Attempts that ended, were refused or were fenced here. */
  readonly settled: SettledAttempts;
  readonly retryBudget: RetryBudget;
  /** Resend budgets of the callers of this node. */
  readonly resends: ResendBudgets;
  readonly routing: RoutingState;
  /** Load hint of the local backend server, in whole per cent. */
  readonly loadHint: number | undefined;
  /** Services that are subscribed to, because they are called. */
  readonly subscriptions: Subscriptions;
  readonly admission: AdmissionState;
  /** Admission levels that answers of other nodes reported. */
  readonly levels: LevelView;
  readonly callees: CalleeView;
  readonly claims: NodeClaims;
  readonly quarantine: NodeQuarantine;
}

/** Creates the state of a node that has just started. */
export function createNodeState(
  self: Announcement,
  backendAddress: string,
): NodeState {
  return {
    self,
    backendAddress,
    table: EMPTY_TABLE,
    isTableConfirmed: false,
    tableCandidate: undefined,
    entries: new Map(),
    entryOfAttempt: new Map(),
    served: new Map(),
    backendHeardMs: 0,
    childrenOf: new Map(),
    settled: NO_SETTLED,
    retryBudget: EMPTY_BUDGET,
    resends: EMPTY_RESEND_BUDGETS,
    routing: createRoutingState({
      nodeId: self.nodeId,
      dataCentre: self.dataCentre,
    }),
    loadHint: undefined,
    // Always subscribed to its own service, whose members share suspects.
    subscriptions: new Map([[self.service, 0]]),
    admission: createAdmission(self.slots),
    levels: new Map(),
    callees: new Map(),
    claims: INITIAL_NODE_CLAIMS,
    quarantine: INITIAL_NODE_QUARANTINE,
  };
}

/** Whether no call is in progress. */
export function isIdle(state: NodeState): boolean {
  return state.entries.size === 0 && state.served.size === 0;
}
