/** Events and effects of the calls that a node handles. */
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

/**
 * Listener on which a call arrived: `edge` for callers outside the system,
 * `egress` for the local backend server, `ingress` for other nodes.
 */
export type Listener = "edge" | "egress" | "ingress";

/** A call whose head has arrived, and its body where that is small. */
export interface CallReceived {
  readonly type: "CallReceived";
  /** Identifies the HTTP exchange with the caller; never reused. */
  readonly exchangeId: string;
  readonly listener: Listener;
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  /** The unparsed context header; ignored on the edge listener. */
  readonly contextHeader: string | undefined;
  /** Content-Length; undefined for a chunked body. */
  readonly bodyBytes: number | undefined;
  /** Whether the whole body is buffered, so that it can be sent again. */
  readonly isReplayable: boolean;
  /** Identifies the caller in `computeAdmissionHash`. */
  readonly admissionKey?: string | undefined;
  /** From the `Idempotency-Key` header; undefined without one. */
  readonly requestKey?: RequestKey;
  /** Identifies the caller for its resend budget; only on the edge listener. */
  readonly caller?: string | undefined;
  /** `x-request-id` and the request target; undefined without that header. */
  readonly requestId?: string;
  /**
   * Digest of method, target and body, or of the body's length where the body
   * isn't buffered whole. Sender and receiver of a hop compute the same value.
   */
  readonly digest?: string;
}

/** Status and signal headers of an answer to an attempt. */
export interface AttemptAnswer {
  readonly status: number;
  /** Undefined where a backend server answered. */
  readonly outcome: CallOutcome | undefined;
  /** Unused retry tokens that the answer returns. */
  readonly tokens: number;
  readonly isDraining: boolean;
  /** Admission level of the node that answered. */
  readonly level?: AdmissionLevel | undefined;
  /** Load hint of that node's backend server, in whole per cent. */
  readonly hintedLoad?: number | undefined;
}

/** Identifies a timer. */
export interface TimerKey {
  readonly owner: "entry" | "served" | "claim";
  /** Exchange id of an entry call, else attempt id. */
  readonly id: string;
}

/** Input of the node's reducer. */
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
    /** False only where the peer provably received no byte of the request. */
    readonly isSent: boolean;
    readonly reason: string;
    /** Whether the peer reset the connection. */
    readonly isReset?: boolean;
  }
  /** Result of `ProbeBackend`. */
  | { readonly type: "BackendProbed"; readonly isAlive: boolean }
  /** The complete answer to an attempt that was sent with `collectBytes`. */
  | {
    readonly type: "AnswerCollected";
    readonly attemptId: string;
    readonly status: number;
    /** Undefined where the body exceeds `collectBytes`. */
    readonly answer: StoredAnswer | undefined;
  }
  /** The answer was relayed to its end. */
  | { readonly type: "AttemptEnded"; readonly attemptId: string }
  /** The answer ended before it was complete. */
  | { readonly type: "AnswerCut"; readonly attemptId: string }
  /**
   * No byte of a relayed answer arrived between two checks, though the receiver
   * of the answer reads.
   */
  | {
    readonly type: "AnswerQuiet";
    readonly attemptId: string;
    /** Whether bytes arrived since the previous event of this type. */
    readonly isNew: boolean;
  }
  /** The receiver of a relayed answer stopped reading it, or reads again. */
  | {
    readonly type: "AnswerBlocked";
    readonly attemptId: string;
    readonly isBlocked: boolean;
  }
  | { readonly type: "CallerLeft"; readonly exchangeId: string }
  /** A body of unknown length exceeded its limit while it was sent. */
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
  /** Occurs every `TICK_MS`. */
  | { readonly type: "Ticked" }
  /** Another node sent a message that needs a reply. */
  | {
    readonly type: "PeerAsked";
    /** Identifies the message for `AnswerPeer`. */
    readonly askId: number;
    readonly message: PeerMessage;
  }
  /** Result of `AskPeer`. */
  | {
    readonly type: "PeerReplied";
    readonly requestId: string;
    /** Undefined where no reply arrived before the timeout. */
    readonly reply: PeerReply | undefined;
  }
  | HintReceived
  | RoutingEvent;

/** Interval of `Ticked`. */
export const TICK_MS = 100;

/** Headers that a node adds to an answer, by lower-case name. */
export type SignalHeaders = Readonly<Record<string, string>>;

/** Sends an answer that the node itself generates. */
export interface AnswerCall {
  readonly type: "AnswerCall";
  readonly exchangeId: string;
  readonly status: number;
  readonly headers: SignalHeaders;
  /** One human-readable sentence; the body of the answer. */
  readonly message: string;
}

/** Side effect that the node's reducer requests. */
export type NodeEffect =
  | AnswerCall
  | {
    readonly type: "SendAttempt";
    readonly exchangeId: string;
    readonly attemptId: string;
    /** `host:port` of the other node's ingress, or of the backend server. */
    readonly address: string;
    readonly peer: "node" | "backend";
    readonly context: CallContext;
    /** Limit of the request body, in bytes. */
    readonly maxBodyBytes: number;
    /** Buffers the whole answer, up to this many bytes; else it is streamed. */
    readonly collectBytes?: number;
  }
  /** Supplies a stored answer in place of the backend server's. */
  | {
    readonly type: "ProvideAnswer";
    readonly attemptId: string;
    readonly answer: StoredAnswer;
  }
  /** Cancels an attempt; it yields no further events. */
  | { readonly type: "AbortAttempt"; readonly attemptId: string }
  /** Reads an unwanted answer to its end, to reuse its connection. */
  | { readonly type: "DiscardAnswer"; readonly attemptId: string }
  /** Retires open connections: later attempts at `address` use new ones. */
  | { readonly type: "DropConnections"; readonly address: string }
  /** Streams the answer of an attempt to the caller. */
  | {
    readonly type: "RelayAnswer";
    readonly exchangeId: string;
    readonly attemptId: string;
    readonly headers: SignalHeaders;
  }
  /** Tests whether the local backend server accepts a new connection. */
  | { readonly type: "ProbeBackend"; readonly address: string }
  /**
   * Breaks the caller's connection, so that the caller can't take a cut answer
   * for a complete one.
   */
  | { readonly type: "DropExchange"; readonly exchangeId: string }
  | {
    readonly type: "StartTimer";
    readonly key: TimerKey;
    /** Steady clock in milliseconds. */
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
    /** Correlates the reply, `PeerReplied`. */
    readonly requestId: string;
    /** `host:port` of the other node's ingress. */
    readonly address: string;
    readonly message: PeerMessage;
    readonly timeoutMs: number;
    /** Whether to open a new connection for this message alone. */
    readonly isFresh: boolean;
  }
  /**
   * Reports to control that the claim records of an older epoch are copied;
   * one holder set is in force in each epoch.
   */
  | {
    readonly type: "ReportCopied";
    readonly service: string;
    readonly epoch: number;
  }
  /** Confirms to control which table version is in force. */
  | { readonly type: "ConfirmTable"; readonly version: number }
  /** Adds an event to the node's time line. */
  | { readonly type: "RecordEvent"; readonly event: TimelineEvent };
