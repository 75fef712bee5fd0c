/** The state of a node: its calls, and the areas that decide on them. */
import { createAdmission } from "../../admission/common/admission_reducer.ts";
import type { AdmissionState } from "../../admission/common/admission_types.ts";
import type { LevelView } from "../../admission/common/level_view.ts";
import type { RequestKey } from "../../claims/common/claim_types.ts";
import { INITIAL_NODE_CLAIMS } from "../../claims/common/node_claims.ts";
import type { NodeClaims } from "../../claims/common/node_claims.ts";
import type { Subscriptions } from "../../link/common/subscriptions.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import { EMPTY_RESENDS } from "../../retry/common/resend_budget.ts";
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

/** An attempt that an entry call made. */
export interface Attempt {
  readonly attemptId: string;
  /** Node of the chosen backend server. */
  readonly nodeId: string;
  /** Of that node's process. */
  readonly incarnation: number;
  /** `host:port` of that node's ingress. */
  readonly address: string;
  readonly startedAtMs: number;
  /** Retry tokens that went with it. */
  readonly tokens: number;
  /** When it was last known to live: sent, or confirmed by its receiver. */
  readonly heardAtMs: number;
  /** Whether a question about it is out. */
  readonly isAsked: boolean;
  /** Whether its connection failed after a byte was sent. */
  readonly isBroken: boolean;
  /** Questions in a row that showed no sign of life. */
  readonly misses: number;
}

/** A call that entered here, from a caller or the local backend server. */
export interface EntryCall {
  readonly exchangeId: string;
  readonly listener: "edge" | "egress";
  readonly row: TableRow;
  /** Context of the call; each attempt gets its own id and tokens. */
  readonly context: CallContext;
  /** Served attempt that made this call, where it is known. */
  readonly parentId: string | undefined;
  readonly deadlineMs: number;
  readonly pool: TokenPool;
  readonly isReplayable: boolean;
  /** The attempt under way; undefined while members are awaited. */
  readonly attempt: Attempt | undefined;
  readonly attemptCount: number;
  readonly tried: readonly string[];
  /** Times that it went elsewhere without a retry token. */
  readonly rerouteCount: number;
  /** Whether every attempt that ended is provably not run. */
  readonly isNotRun: boolean;
  readonly isRelaying: boolean;
  /** Whether the next attempt stands for one that never arrived. */
  readonly isReplacing?: boolean;
  /** The attempt whose answer is relayed. */
  readonly relayed?: Attempt;
  readonly requestKey: RequestKey | undefined;
  /** See `CallReceived`. */
  readonly digest?: string | undefined;
}

/** An attempt that the local backend server is to run. */
export interface ServedCall {
  readonly attemptId: string;
  readonly exchangeId: string;
  readonly origin: "ingress" | "local";
  readonly row: TableRow;
  readonly context: CallContext;
  readonly deadlineMs: number;
  /** Retry tokens for the calls that the backend server makes. */
  readonly pool: TokenPool;
  readonly phase: "queued" | "running" | "relaying" | "blocked";
  readonly requestKey: RequestKey | undefined;
  /** Kind and digest; undefined where the digest is not known. */
  readonly fingerprint?: Fingerprint | undefined;
  /** Status of an answer that is held whole until its outcome is kept. */
  readonly collectedStatus?: number;
  /** Whether it runs on, for its key's sake, though nobody waits for it. */
  readonly isDetached?: boolean;
  /** Since when calls that it made are open; undefined where none is. */
  readonly downstreamSinceMs?: number | undefined;
  /** Time before that in which calls that it made were open. */
  readonly downstreamMs?: number;
}

/** A table that is not in force yet. */
export interface TableCandidate {
  readonly table: Table;
  /** When the first one was found, on the wall clock in milliseconds. */
  readonly sinceMs: number;
}

/** All that a node knows. */
export interface NodeState {
  readonly self: Announcement;
  /** `host:port` of the local backend server. */
  readonly backendAddress: string;
  readonly table: Table;
  /** Whether a quorum vouched for the table. */
  readonly isTableConfirmed: boolean;
  /** Highest table that no quorum vouched for, while there is none yet. */
  readonly tableCandidate: TableCandidate | undefined;
  /** By exchange id. */
  readonly entries: ReadonlyMap<string, EntryCall>;
  /** Exchange ids of entry calls by the attempt under way. */
  readonly entryOfAttempt: ReadonlyMap<string, string>;
  /** By attempt id. */
  readonly served: ReadonlyMap<string, ServedCall>;
  /** When the local backend server last sent the head of an answer. */
  readonly backendHeardMs: number;
  /** Entry calls that a served attempt made and that are open. */
  readonly childrenOf: ReadonlyMap<string, readonly string[]>;
  /** Attempts that ended, were refused or were fenced here. */
  readonly settled: SettledAttempts;
  readonly retryBudget: RetryBudget;
  /** Resends by the callers of this node. */
  readonly resends: ResendBudgets;
  readonly routing: RoutingState;
  /** Load hint of the local backend server, whole per cent. */
  readonly loadHint: number | undefined;
  /** Services that are called, and so subscribed to. */
  readonly subscriptions: Subscriptions;
  readonly admission: AdmissionState;
  /** Admission levels that other nodes said on answers. */
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
    resends: EMPTY_RESENDS,
    routing: createRoutingState({
      nodeId: self.nodeId,
      dataCentre: self.dataCentre,
    }),
    loadHint: undefined,
    // Its own service's members share the suspects.
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
