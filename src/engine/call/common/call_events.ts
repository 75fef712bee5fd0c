/** Events and effects of the calls that pass a node. */
import type { AdmissionLevel } from "../../admission/common/admission_level.ts";
import type {
  HolderSets,
  RequestKey,
  StoredAnswer,
} from "../../claims/common/claim_types.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import type {
  PeerMessage,
  PeerReply,
} from "../../peer/common/peer_messages.ts";
import type { HintReceived } from "../../routing/common/load_hint.ts";
import type { RoutingEvent } from "../../routing/common/routing_reducer.ts";
import type { Table } from "../../table/common/table_row.ts";
import type { TimelineEvent } from "../../telemetry/common/timeline_event.ts";
import type { CallContext, CallOutcome } from "./call_context.ts";

/** Where a call came in. */
export type Listener = "edge" | "egress" | "ingress";

/** A call whose head (and, where it is small, body) has arrived. */
export interface CallReceived {
  readonly type: "CallReceived";
  /** The HTTP exchange with whoever called; never used again. */
  readonly exchangeId: string;
  readonly listener: Listener;
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  /** The raw context header; ignored at the edge. */
  readonly contextHeader: string | undefined;
  /** Content-Length; undefined for a chunked body. */
  readonly bodyBytes: number | undefined;
  /** Whether the whole body is held and can be sent again. */
  readonly isReplayable: boolean;
  /** Names the caller for the admission hash; see `computeAdmissionHash`. */
  readonly admissionKey?: string | undefined;
  /** From the `Idempotency-Key` header; undefined without one. */
  readonly requestKey?: RequestKey;
  /** Names the caller for its budget of resends; only at the edge. */
  readonly caller?: string | undefined;
  /** `x-request-id` and the target; undefined without that header. */
  readonly requestId?: string;
  /**
   * Digest of method, target and body; of the length alone where the body
   * isn't held whole. The same at both ends of a hop.
   */
  readonly digest?: string;
}

/** The head of an answer to an attempt. */
export interface AttemptAnswer {
  readonly status: number;
  /** Undefined where the peer is no node. */
  readonly outcome: CallOutcome | undefined;
  readonly tokens: number;
  readonly isDraining: boolean;
  /** Admission level of the node that answered. */
  readonly level?: AdmissionLevel | undefined;
  /** Load hint of its backend server, whole per cent. */
  readonly hintedLoad?: number | undefined;
}

/** Whose timer fired. */
export interface TimerKey {
  readonly owner: "entry" | "served" | "claim";
  /** Exchange id or attempt id. */
  readonly id: string;
}

/** What happens at a node. */
export type NodeEvent =
  | CallReceived
  | {
    readonly type: "AttemptAnswered";
    readonly attemptId: string;
    readonly answer: AttemptAnswer;
  }
  | {
    readonly type: "AttemptFailed";
    readonly attemptId: string;
    /** False only where the peer provably saw nothing of the request. */
    readonly isSent: boolean;
    readonly reason: string;
    /** Whether the peer broke the connection. */
    readonly isReset?: boolean;
  }
  /** Answers `ProbeBackend`. */
  | { readonly type: "BackendProbed"; readonly isAlive: boolean }
  /** The whole answer to an attempt that was sent with `collectBytes`. */
  | {
    readonly type: "AnswerCollected";
    readonly attemptId: string;
    readonly status: number;
    /** Undefined where the body is over `collectBytes`. */
    readonly answer: StoredAnswer | undefined;
  }
  | { readonly type: "AttemptEnded"; readonly attemptId: string }
  | { readonly type: "AnswerCut"; readonly attemptId: string }
  /** No byte of a relayed answer for a spell, though the caller reads. */
  | {
    readonly type: "AnswerQuiet";
    readonly attemptId: string;
    /** Whether bytes came since the last event of this type. */
    readonly isNew: boolean;
  }
  /** Whoever called takes no byte of a relayed answer, or goes on. */
  | {
    readonly type: "AnswerBlocked";
    readonly attemptId: string;
    readonly isBlocked: boolean;
  }
  | { readonly type: "CallerLeft"; readonly exchangeId: string }
  | {
    readonly type: "BodyLimitPassed";
    readonly exchangeId: string;
  }
  | { readonly type: "TimerFired"; readonly key: TimerKey }
  | {
    readonly type: "TableReceived";
    readonly table: Table;
    readonly isConfirmed: boolean;
  }
  | { readonly type: "HolderSetsReceived"; readonly sets: HolderSets }
  | { readonly type: "DrainRequested" }
  /** Comes every `TICK_MS`. */
  | { readonly type: "Ticked" }
  | {
    readonly type: "PeerAsked";
    readonly askId: number;
    readonly message: PeerMessage;
  }
  /** `reply` is undefined where none came in time. */
  | {
    readonly type: "PeerReplied";
    readonly requestId: string;
    readonly reply: PeerReply | undefined;
  }
  | HintReceived
  | RoutingEvent;

/** How often a node ticks, in milliseconds. */
export const TICK_MS = 100;

/** Headers that the system adds, by lower-case name. */
export type SignalHeaders = Readonly<Record<string, string>>;

/** An answer that the node itself gives. */
export interface AnswerCall {
  readonly type: "AnswerCall";
  readonly exchangeId: string;
  readonly status: number;
  readonly headers: SignalHeaders;
  /** One sentence for a person. */
  readonly message: string;
}

/** What a node does about it. */
export type NodeEffect =
  | AnswerCall
  | {
    readonly type: "SendAttempt";
    readonly exchangeId: string;
    readonly attemptId: string;
    /** `host:port` of the other node's ingress or of the backend server. */
    readonly address: string;
    readonly peer: "node" | "backend";
    readonly context: CallContext;
    /** Longest body, in bytes. */
    readonly maxBodyBytes: number;
    /** Set where the answer is to be held whole, up to so many bytes. */
    readonly collectBytes?: number;
  }
  /** Puts a kept answer in place of the one that an attempt would bring. */
  | {
    readonly type: "ProvideAnswer";
    readonly attemptId: string;
    readonly answer: StoredAnswer;
  }
  | { readonly type: "AbortAttempt"; readonly attemptId: string }
  | { readonly type: "DiscardAnswer"; readonly attemptId: string }
  /** Later attempts at `address` use new connections. */
  | { readonly type: "DropConnections"; readonly address: string }
  | {
    readonly type: "RelayAnswer";
    readonly exchangeId: string;
    readonly attemptId: string;
    readonly headers: SignalHeaders;
  }
  /** Tries whether the local backend server takes a new connection. */
  | { readonly type: "ProbeBackend"; readonly address: string }
  /** Breaks the connection, so that a cut answer can't look whole. */
  | { readonly type: "DropExchange"; readonly exchangeId: string }
  | {
    readonly type: "StartTimer";
    readonly key: TimerKey;
    /** Wall clock in milliseconds. */
    readonly atMs: number;
  }
  | { readonly type: "StopTimer"; readonly key: TimerKey }
  | { readonly type: "SubscribeService"; readonly service: string }
  | { readonly type: "UnsubscribeService"; readonly service: string }
  | { readonly type: "SendAnnouncement"; readonly announcement: Announcement }
  | {
    readonly type: "AnswerPeer";
    readonly askId: number;
    readonly reply: PeerReply;
  }
  | {
    readonly type: "AskPeer";
    /** Comes back with the reply. */
    readonly requestId: string;
    /** `host:port` of the other node's ingress. */
    readonly address: string;
    readonly message: PeerMessage;
    readonly timeoutMs: number;
    /** Whether a connection of its own is opened for it. */
    readonly isFresh: boolean;
  }
  /** Tells control that the records of an older epoch are copied. */
  | {
    readonly type: "ReportCopied";
    readonly service: string;
    readonly epoch: number;
  }
  | { readonly type: "ConfirmTable"; readonly version: number }
  | { readonly type: "RecordEvent"; readonly event: TimelineEvent };
