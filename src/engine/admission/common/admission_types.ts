/** What the admission of one backend server knows, hears and decides. */
import type { TableRow } from "../../table/common/table_row.ts";
import type { ConcurrencyLimit } from "./concurrency_limit.ts";
import type { LevelControl } from "./level_control.ts";
import type { Ramp } from "./ramp.ts";
import type { ServiceTime } from "./service_time.ts";

/** A request before the backend server. */
export interface AdmissionRequest {
  readonly attemptId: string;
  readonly row: TableRow;
  /** Of the root request, 0 to 9. */
  readonly importance: number;
  /** Orders root requests of one importance; unsigned 32-bit. */
  readonly admissionHash: number;
  readonly depth: number;
  /** Wall clock in milliseconds. */
  readonly deadlineMs: number;
}

/** A request that runs. */
export interface RunningRequest {
  readonly kind: string;
  readonly startedAtMs: number;
  /** Whether the head of the answer has come. */
  readonly isAnswered: boolean;
}

/** A request that waits. */
export interface QueuedRequest extends AdmissionRequest {
  readonly queuedAtMs: number;
}

/** What is remembered of one kind. */
export interface KindState {
  readonly usedAtMs: number;
  /** Theoretical arrival time of the rate limit, wall clock in ms. */
  readonly theoreticalMs: number;
  /** Finish tag of the fair queue, in virtual milliseconds. */
  readonly finishTag: number;
  readonly time: ServiceTime;
}

/** The state of one backend server's admission. */
export interface AdmissionState {
  /** Requests that the backend server announced to run at a time. */
  readonly slots: number;
  readonly running: ReadonlyMap<string, RunningRequest>;
  readonly queue: readonly QueuedRequest[];
  readonly kinds: ReadonlyMap<string, KindState>;
  /** Virtual time of the fair queue: start tag of the last one run. */
  readonly virtualMs: number;
  /** Since when the queue has never been empty. */
  readonly busySinceMs: number | undefined;
  readonly limit: ConcurrencyLimit;
  readonly ramp: Ramp;
  readonly level: LevelControl;
}

/** Why a request was not run. */
export type RefusalReason =
  /** The row's rate is used up. */
  | "rate"
  /** As many wait as may. */
  | "queue_full"
  /** A request that goes before it took its place in the queue. */
  | "displaced"
  /** It stood too long in a queue that doesn't empty. */
  | "queue_wait"
  /** The time that is left doesn't cover the expected service time. */
  | "deadline"
  /** It is under the admission level. */
  | "level"
  | "draining";

/** How a request that ran ended. */
export type RunResult = "answered" | "failed" | "cancelled";

/** What happens at the admission. */
export type AdmissionEvent =
  | { readonly type: "RequestArrived"; readonly request: AdmissionRequest }
  /** The head of the backend server's answer has come. */
  | {
    readonly type: "RequestAnswered";
    readonly attemptId: string;
    /** Time of it that the backend server waited for calls of its own. */
    readonly downstreamMs?: number;
  }
  | {
    readonly type: "RequestFinished";
    readonly attemptId: string;
    readonly result: RunResult;
    readonly downstreamMs?: number;
  }
  | { readonly type: "RequestWithdrawn"; readonly attemptId: string }
  | { readonly type: "Ticked" };

/** A request that is not run, to be told at once. */
export interface RefuseRequest {
  readonly type: "RefuseRequest";
  readonly attemptId: string;
  readonly reason: RefusalReason;
  /** When the caller should come back. */
  readonly retryAfterMs: number;
}

/** What was decided. */
export type AdmissionEffect =
  | { readonly type: "RunRequest"; readonly attemptId: string }
  | RefuseRequest;
