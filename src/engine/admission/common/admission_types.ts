/** State, events and effects of the admission control of one backend server. */
import type { TableRow } from "../../table/common/table_row.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { LevelControl } from "./level_control.ts";
import type { Ramp } from "./ramp.ts";
import type { ServiceTime } from "./service_time.ts";

/** A request that arrived for the backend server. */
export interface AdmissionRequest {
  readonly attemptId: string;
  /** Row of the table for the kind of the request. */
  readonly row: TableRow;
  /** Importance of the root request, 0 to 9; higher is more important. */
  readonly importance: number;
  /**
   * Orders root requests of one importance, higher first; unsigned 32-bit.
   */
  readonly admissionHash: number;
  /** Number of calls above it in the call tree; 0 for a root request. */
  readonly depth: number;
  /** Steady clock in milliseconds. */
  readonly deadlineMs: number;
}

/** A request that the backend server is running. */
export interface RunningRequest {
  readonly kind: string;
  /** Steady clock in milliseconds. */
  readonly startedAtMs: number;
  /** Whether the head of the answer was received. */
  readonly isAnswered: boolean;
}

/** A request that waits for free capacity. */
export interface QueuedRequest extends AdmissionRequest {
  /** Steady clock in milliseconds. */
  readonly queuedAtMs: number;
}

/** State of one kind of request. */
export interface KindState {
  /** When a request of the kind was last accepted, steady clock in ms. */
  readonly usedAtMs: number;
  /** Theoretical arrival time of the rate limit (GCRA), steady clock in ms. */
  readonly theoreticalMs: number;
  /** Finish tag of the fair queue, in virtual milliseconds. */
  readonly finishTag: number;
  readonly time: ServiceTime;
}

/** State of the admission control of one backend server. */
export interface AdmissionState {
  /** Number of requests that the backend server announced to run at a time. */
  readonly slots: number;
  /** By attempt id. */
  readonly running: ReadonlyMap<string, RunningRequest>;
  /** In order of arrival. */
  readonly queue: readonly QueuedRequest[];
  /** By kind of request. */
  readonly kinds: ReadonlyMap<string, KindState>;
  /** Virtual time of the fair queue: start tag of the request last started. */
  readonly virtualMs: number;
  /**
   * Start of the interval in which the queue has never been empty, steady clock
   * in milliseconds; undefined while it is empty.
   */
  readonly busySinceMs: number | undefined;
  readonly limit: ConcurrencyLimit;
  readonly ramp: Ramp;
  readonly level: LevelControl;
}

/** Why a request was refused without being run. */
export type RefusalReason =
  /** The rate limit of the row is exceeded. */
  | "rate"
  /** The queue of the row, or of the backend server, is full. */
  | "queue_full"
  /** A request of higher priority replaced it in the full queue. */
  | "displaced"
  /** It waited for too long in a queue that does not empty. */
  | "queue_wait"
  /** The time to the deadline is less than the expected service time. */
  | "deadline"
  /** Its priority is below the admission level. */
  | "level"
  /** The backend server is draining. */
  | "draining";

/** How the run of a request ended. */
export type RunResult = "answered" | "failed" | "cancelled";

/** An input of the admission control. */
export type AdmissionEvent =
  | { readonly type: "RequestArrived"; readonly request: AdmissionRequest }
  /** The head of the backend server's answer was received. */
  | {
    readonly type: "RequestAnswered";
    readonly attemptId: string;
    /** Part of the run that the backend server waited for its own calls. */
    readonly downstreamMs?: number;
  }
  | {
    readonly type: "RequestFinished";
    readonly attemptId: string;
    readonly result: RunResult;
    readonly downstreamMs?: number;
  }
  /** The caller no longer waits for a queued request. */
  | { readonly type: "RequestWithdrawn"; readonly attemptId: string }
  | { readonly type: "Ticked" };

/** Refuses a request; the caller is answered at once. */
export interface RefuseRequest {
  readonly type: "RefuseRequest";
  readonly attemptId: string;
  readonly reason: RefusalReason;
  /** Delay before the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** A decision of the admission control. */
export type AdmissionEffect =
  | { readonly type: "RunRequest"; readonly attemptId: string }
  | RefuseRequest;
