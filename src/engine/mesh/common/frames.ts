/** What nodes say to each other about calls; many frames share a message. */

/** Names and values by turns, as they stood on the wire. */
export type HeaderList = readonly string[];

/** A call for the receiver's backend server. */
export interface CallOpened {
  readonly type: "CallOpened";
  /** Number of the call on this link. */
  readonly call: number;
  readonly requestId: string;
  /** Whose backend server shall run it; another service's node refuses. */
  readonly service: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly headers: HeaderList;
  /**
   * When the caller has its final answer, by the steady clock of the process
   * that holds the frame. On the wire it is the time that is left as the bytes
   * leave: a call that waits within a process has that much less.
   */
  readonly deadlineMs: number;
  /** Urgency of the route; 0 is the most urgent. */
  readonly rank: number;
  /** Name of the route; keys what is learnt of its service time. */
  readonly route: string;
  readonly isIdempotent: boolean;
  /** Whether a backend server's own call: work above it is invested. */
  readonly isNested: boolean;
  /**
   * How likely it is that this arrival is a repeat, 0 to 1: 1 for a retry, else
   * the share of repeats among the runs that may have made the call.
   */
  readonly repeatShare: number;
  /** Length of the whole body. */
  readonly bodyBytes: number;
  /** The body, or its first part. */
  readonly body: Uint8Array;
}

/** The next part of a body, of a call or of its answer. */
export interface BodyPart {
  readonly type: "BodyPart";
  readonly call: number;
  readonly bytes: Uint8Array;
}

/** The caller has left, or the call's time is up. */
export interface CallCancelled {
  readonly type: "CallCancelled";
  readonly call: number;
}

/** The backend server's answer. */
export interface AnswerOpened {
  readonly type: "AnswerOpened";
  readonly call: number;
  readonly status: number;
  readonly headers: HeaderList;
  readonly load: LoadFigures;
  readonly bodyBytes: number;
  /** The body, or its first part. */
  readonly body: Uint8Array;
}

/** Why a call has no answer of the backend server. */
export type FailureKind =
  /** No backend server saw it, and none will. */
  | "refused"
  /** The backend server said itself that it did not run it. */
  | "rejected"
  /** It was handed over and what became of it isn't known. */
  | "unknown"
  /** The time limit was reached while it ran. */
  | "expired";

/** The call ends without an answer. */
export interface CallFailed {
  readonly type: "CallFailed";
  readonly call: number;
  readonly kind: FailureKind;
  /** For logs. */
  readonly reason: string;
  /** When to come back; 0 where nothing is known. */
  readonly retryAfterMs: number;
  readonly load: LoadFigures;
}

/** Load of one backend server, as its node sees it. */
export interface LoadFigures {
  readonly running: number;
  readonly queued: number;
  /** Requests that may run at a time; 0 where none may. */
  readonly limit: number;
  /** How hard roots that lead here should be refused, 0 to 1. */
  readonly pressure: number;
  /** Mean time of a run, in milliseconds; 0 where none is known. */
  readonly serviceMs: number;
}

/** Said from time to time on links in use; also shows that the sender lives. */
export interface LoadReported {
  readonly type: "LoadReported";
  readonly load: LoadFigures;
  /** One for each route with calls; undefined where nothing new is said. */
  readonly below: readonly PressureBelow[] | undefined;
  /** From which services calls came here; empty where nothing new is said. */
  readonly callers: CallerReport;
}

/** Pressure below the requests of a route that make calls at the sender. */
export type PressureBelow = readonly [
  route: string,
  pressure: number,
  /** Since the gate under pressure said so, in milliseconds. */
  ageMs: number,
];

/** Calls by route, then by the service on whose VM they began. */
export type CallerReport = readonly (readonly [
  route: string,
  callers: readonly (readonly [service: string, calls: number])[],
])[];

/** The first frame on a link: whose VM the calls on it begin on. */
export interface CallerIntroduced {
  readonly type: "CallerIntroduced";
  readonly service: string;
}

/** One frame. */
export type MeshFrame =
  | CallOpened
  | BodyPart
  | CallCancelled
  | AnswerOpened
  | CallFailed
  | LoadReported
  | CallerIntroduced;

/** Largest part of a body in one frame; larger bodies come in several. */
export const MAX_PART_BYTES = 65_536;

const TAGS = {
  CallOpened: 1,
  BodyPart: 2,
  CallCancelled: 3,
  AnswerOpened: 4,
  CallFailed: 5,
  LoadReported: 6,
  CallerIntroduced: 7,
} as const;

const FAILURE_KINDS: readonly FailureKind[] = [
  "refused",
  "rejected",
  "unknown",
  "expired",
];

/** Shares go as whole hundredths: one byte in place of nine. */
const HUNDREDTHS = 100;

type WireLoad = readonly [number, number, number, number, number?];

/**
 * Turns a frame into the list that is packed at `nowMs`: field names on the
 * wire would add some 150 bytes to each call.
 */
export function flattenFrame(
  frame: MeshFrame,
  nowMs: number,
): readonly unknown[] {
  switch (frame.type) {
    case "CallOpened":
      return [
        TAGS.CallOpened,
        frame.call,
        frame.requestId,
        frame.service,
        frame.method,
        frame.target,
        frame.headers,
        Math.ceil(Math.max(0, frame.deadlineMs - nowMs)),
        frame.rank,
        frame.route,
        (frame.isIdempotent ? 1 : 0) + (frame.isNested ? 2 : 0),
        frame.bodyBytes,
        frame.body,
        Math.round(frame.repeatShare * HUNDREDTHS),
      ];
    case "BodyPart":
      return [TAGS.BodyPart, frame.call, frame.bytes];
    case "CallCancelled":
      return [TAGS.CallCancelled, frame.call];
    case "AnswerOpened":
      return [
        TAGS.AnswerOpened,
        frame.call,
        frame.status,
        frame.headers,
        flattenLoad(frame.load),
        frame.bodyBytes,
        frame.body,
      ];
    case "CallFailed":
      return [
        TAGS.CallFailed,
        frame.call,
        FAILURE_KINDS.indexOf(frame.kind),
        frame.reason,
        Math.ceil(frame.retryAfterMs),
        flattenLoad(frame.load),
      ];
    case "LoadReported":
      return [
        TAGS.LoadReported,
        flattenLoad(frame.load),
        frame.below ?? null,
        frame.callers,
      ];
    case "CallerIntroduced":
      return [TAGS.CallerIntroduced, frame.service];
  }
}

/**
 * Reads a frame that arrived at `arrivedAtMs` by the receiver's steady clock;
 * undefined for one of a newer format.
 */
export function parseFrame(
  fields: readonly unknown[],
  arrivedAtMs: number,
): MeshFrame | undefined {
  const call = fields[1] as number;
  switch (fields[0]) {
    case TAGS.CallOpened: {
      const flags = fields[10] as number;
      return {
        type: "CallOpened",
        call,
        requestId: fields[2] as string,
        service: fields[3] as string,
        method: fields[4] as string,
        target: fields[5] as string,
        headers: fields[6] as HeaderList,
        deadlineMs: arrivedAtMs + (fields[7] as number),
        rank: fields[8] as number,
        route: fields[9] as string,
        isIdempotent: (flags & 1) !== 0,
        isNested: (flags & 2) !== 0,
        bodyBytes: fields[11] as number,
        body: fields[12] as Uint8Array,
        repeatShare: ((fields[13] ?? 0) as number) / HUNDREDTHS,
      };
    }
    case TAGS.BodyPart:
      return { type: "BodyPart", call, bytes: fields[2] as Uint8Array };
    case TAGS.CallCancelled:
      return { type: "CallCancelled", call };
    case TAGS.AnswerOpened:
      return {
        type: "AnswerOpened",
        call,
        status: fields[2] as number,
        headers: fields[3] as HeaderList,
        load: parseLoad(fields[4] as WireLoad),
        bodyBytes: fields[5] as number,
        body: fields[6] as Uint8Array,
      };
    case TAGS.CallFailed:
      return {
        type: "CallFailed",
        call,
        kind: FAILURE_KINDS[fields[2] as number] ?? "unknown",
        reason: fields[3] as string,
        retryAfterMs: fields[4] as number,
        load: parseLoad(fields[5] as WireLoad),
      };
    case TAGS.LoadReported:
      return {
        type: "LoadReported",
        load: parseLoad(fields[1] as WireLoad),
        below: (fields[2] ?? undefined) as LoadReported["below"],
        callers: (fields[3] ?? []) as CallerReport,
      };
    case TAGS.CallerIntroduced:
      return { type: "CallerIntroduced", service: fields[1] as string };
    default:
      return undefined;
  }
}

function flattenLoad(load: LoadFigures): WireLoad {
  const { running, queued, limit, pressure, serviceMs } = load;
  const hundredths = Math.round(pressure * HUNDREDTHS);
  return [running, queued, limit, hundredths, Math.round(serviceMs)];
}

function parseLoad([running, queued, limit, hundredths, ms]: WireLoad) {
  const pressure = hundredths / HUNDREDTHS;
  return { running, queued, limit, pressure, serviceMs: ms ?? 0 };
}
