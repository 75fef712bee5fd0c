/** Frames that nodes exchange about calls; a message carries many frames. */

import type { EvidencedEnd } from "../../quarantine/common/crash_evidence.ts";
import {
  flattenEnd,
  parseEnd,
} from "../../quarantine/common/crash_messages.ts";
import type {
  CrashReport,
  WireEnd,
  WireEvidence,
} from "../../quarantine/common/crash_messages.ts";

/** Names and values alternately, as received. */
export type HeaderList = readonly string[];

/** A call for the receiver's backend server. */
export interface CallOpened {
  readonly type: "CallOpened";
  /** Number of the call, unique on this link. */
  readonly call: number;
  readonly requestId: string;
  /** Service whose backend server runs it; nodes of other services refuse. */
  readonly service: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly headers: HeaderList;
  /**
   * When the caller must have its final answer, by the steady clock of the
   * process that holds the frame. On the wire it is the remaining time when the
   * message is encoded, so that time spent waiting in a process counts.
   */
  readonly deadlineMs: number;
  /** Urgency of the call, from its root request; 0 is the most urgent. */
  readonly rank: number;
  /** Name of the route; service times are estimated by route. */
  readonly route: string;
  readonly isIdempotent: boolean;
  /** Whether a backend server made the call, for a request that it runs. */
  readonly isNested: boolean;
  /**
   * Probability that this attempt is a repeat, 0 to 1: 1 for a retry, otherwise
   * the share of repeats among the runs that may have made the call.
   */
  readonly repeatShare: number;
  /** Length of the complete body. */
  readonly bodyBytes: number;
  /** The body, or its first part. */
  readonly body: Uint8Array;
  /** What the sender knows of ends of backend servers that ran it. */
  readonly evidence?: readonly WireEvidence[] | undefined;
}

/** The next part of the body of a call or of its answer. */
export interface BodyPart {
  readonly type: "BodyPart";
  readonly call: number;
  readonly bytes: Uint8Array;
}

/** Cancels a call: the caller has left, or the call is abandoned. */
export interface CallCancelled {
  readonly type: "CallCancelled";
  readonly call: number;
  /**
   * Whether a call that the backend server has received goes on, and any other
   * is refused. Earlier builds cancel either.
   */
  readonly isRecall?: boolean;
}

/** The answer of the backend server. */
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

/** Why the backend server has not answered a call. */
export type FailureKind =
  /** It was not handed to a backend server, and will not be. */
  | "refused"
  /** The backend server itself reported that it did not run it. */
  | "rejected"
  /** It was handed over, and its outcome is not known. */
  | "unknown"
  /** Its deadline passed while it ran. */
  | "expired";

/** Ends a call without an answer. */
export interface CallFailed {
  readonly type: "CallFailed";
  readonly call: number;
  readonly kind: FailureKind;
  /** For logs. */
  readonly reason: string;
  /** Time after which to retry, in milliseconds; 0 if unknown. */
  readonly retryAfterMs: number;
  readonly load: LoadFigures;
  /** End of the backend server that ran the call; undefined if it lives on. */
  readonly ended?: EvidencedEnd | undefined;
}

/** Load of one backend server, as measured by its node. */
export interface LoadFigures {
  /** Requests that run at the backend server. */
  readonly running: number;
  /** Calls that wait at the gate. */
  readonly queued: number;
  /**
   * Requests that run at a time when the backend server gets all that it takes;
   * 0 if it takes none, below 1 if a limit on the request rate allows fewer.
   */
  readonly limit: number;
  /** How strongly to refuse root requests whose call path leads here, 0 to 1. */
  readonly pressure: number;
  /** Mean service time, in milliseconds; 0 if unknown. */
  readonly serviceMs: number;
  /**
   * What the backend server says of itself; undefined if the node knows of
   * nothing, as after its start.
   */
  readonly notice?: BackendNotice | undefined;
  /**
   * Ratio of the capacity to the slot time that root requests would ask for if
   * all were admitted; above 1 there is capacity to spare. Undefined if the gate
   * doesn't measure it.
   */
  readonly spare?: number | undefined;
  /**
   * How long work takes on the backend server's machine at this moment, relative
   * to usual; undefined if the backend server doesn't say so.
   */
  readonly slowdown?: number | undefined;
  /**
   * Share of the calls of all callers that the backend server fails, 0 to 1;
   * undefined if it has failed none recently.
   */
  readonly failureShare?: number | undefined;
}

/** What a process instance of a backend server has said, as far as known. */
export interface BackendNotice {
  /** Process instance that it holds for. */
  readonly instance: string;
  /** Undefined if the instance names no limit, or no longer does. */
  readonly requestsPerSecond: number | undefined;
  /** An instance that leaves never takes requests again. */
  readonly isLeaving: boolean;
  /**
   * When the limit was last said, by the steady clock of the process that holds
   * the notice, in milliseconds. On the wire it is an age.
   */
  readonly saidAtMs: number;
}

/** Periodic report on links in use; it also serves as a heartbeat. */
export interface LoadReported {
  readonly type: "LoadReported";
  readonly load: LoadFigures;
  /** One for each route that makes calls; undefined if unchanged. */
  readonly below: readonly DownstreamPressure[] | undefined;
  /** The services that call this one; empty if there is nothing new. */
  readonly callers: CallerReport;
  /** New evidence about requests that end backend servers. */
  readonly crashes?: CrashReport | undefined;
}

/** Pressure in the downstream services that requests of a route call. */
export type DownstreamPressure = readonly [
  route: string,
  pressure: number,
  /** Time since the gate under pressure reported it, in milliseconds. */
  ageMs: number,
  /** The lowest `spare` downstream; undefined if no gate reports one. */
  spare?: number | undefined,
  /** Slot time that a run of the route costs there, in milliseconds. */
  costMs?: number | undefined,
  /** The service that reports it. */
  service?: string | undefined,
];

/** Number of calls by route, then by the service on whose VM they began. */
export type CallerReport = readonly (readonly [
  route: string,
  callers: readonly (readonly [service: string, calls: number])[],
])[];

/**
 * First frame on a link, sent again after a change: names the service on whose
 * VM its calls begin.
 */
export interface CallerIntroduced {
  readonly type: "CallerIntroduced";
  readonly service: string;
  /** What the sender knows of the receiver's backend server. */
  readonly notice?: BackendNotice | undefined;
}

/** Any frame. */
export type MeshFrame =
  | CallOpened
  | BodyPart
  | CallCancelled
  | AnswerOpened
  | CallFailed
  | LoadReported
  | CallerIntroduced;

/** Largest part of a body in one frame; larger bodies are sent in several. */
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

/** Ratios are sent as whole hundredths: one byte instead of nine. */
const HUNDREDTHS = 100;

/** `BackendNotice` on the wire; the last field is an age in milliseconds. */
type WireNotice = readonly [
  instance: string,
  requestsPerSecond: number | null,
  isLeaving: 0 | 1,
  ageMs: number,
];

/**
 * `LoadFigures` on the wire: running, queued, limit, pressure, serviceMs,
 * notice, spare, slowdown, failure share. An absent field before a present one
 * is `undefined`, which earlier builds read as absent too.
 */
type WireLoad = readonly [
  running: number,
  queued: number,
  limit: number,
  pressure: number,
  serviceMs?: number,
  notice?: WireNotice | undefined,
  spare?: number | undefined,
  slowdown?: number | undefined,
  failureShare?: number | undefined,
];

/**
 * Converts a frame to the list of fields that is encoded at `nowMs`. Field names
 * on the wire would add about 150 bytes to each call.
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
        ...(frame.evidence === undefined ? [] : [frame.evidence]),
      ];
    case "BodyPart":
      return [TAGS.BodyPart, frame.call, frame.bytes];
    case "CallCancelled":
      return frame.isRecall === true
        ? [TAGS.CallCancelled, frame.call, 1]
        : [TAGS.CallCancelled, frame.call];
    case "AnswerOpened":
      return [
        TAGS.AnswerOpened,
        frame.call,
        frame.status,
        frame.headers,
        flattenLoad(frame.load, nowMs),
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
        flattenLoad(frame.load, nowMs),
        ...(frame.ended === undefined ? [] : [flattenEnd(frame.ended)]),
      ];
    case "LoadReported":
      return [
        TAGS.LoadReported,
        flattenLoad(frame.load, nowMs),
        frame.below ?? null,
        frame.callers,
        ...(frame.crashes === undefined
          ? []
          : [[frame.crashes.service, frame.crashes.evidence]]),
      ];
    case "CallerIntroduced":
      return [
        TAGS.CallerIntroduced,
        frame.service,
        ...(frame.notice === undefined
          ? []
          : [flattenNotice(frame.notice, nowMs)]),
      ];
  }
}

/**
 * Parses a frame received at `arrivedAtMs` by the receiver's steady clock;
 * undefined for a type that this version doesn't know.
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
        evidence: fields[14] as CallOpened["evidence"],
      };
    }
    case TAGS.BodyPart:
      return { type: "BodyPart", call, bytes: fields[2] as Uint8Array };
    case TAGS.CallCancelled:
      return fields[2] === 1
        ? { type: "CallCancelled", call, isRecall: true }
        : { type: "CallCancelled", call };
    case TAGS.AnswerOpened:
      return {
        type: "AnswerOpened",
        call,
        status: fields[2] as number,
        headers: fields[3] as HeaderList,
        load: parseLoad(fields[4] as WireLoad, arrivedAtMs),
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
        load: parseLoad(fields[5] as WireLoad, arrivedAtMs),
        ended: parseOptionalEnd(fields[6] as WireEnd | undefined),
      };
    case TAGS.LoadReported:
      return {
        type: "LoadReported",
        load: parseLoad(fields[1] as WireLoad, arrivedAtMs),
        below: (fields[2] ?? undefined) as LoadReported["below"],
        callers: (fields[3] ?? []) as CallerReport,
        crashes: parseCrashes(fields[4] as WireCrashes | undefined),
      };
    case TAGS.CallerIntroduced:
      return {
        type: "CallerIntroduced",
        service: fields[1] as string,
        notice: parseNotice(fields[2] as WireNotice | undefined, arrivedAtMs),
      };
    default:
      return undefined;
  }
}

type WireCrashes = readonly [
  service: string,
  evidence: CrashReport["evidence"],
];

function parseOptionalEnd(
  fields: WireEnd | undefined,
): EvidencedEnd | undefined {
  return fields && parseEnd(fields);
}

function parseCrashes(
  fields: WireCrashes | undefined,
): CrashReport | undefined {
  return fields && { service: fields[0], evidence: fields[1] };
}

function flattenLoad(load: LoadFigures, nowMs: number): WireLoad {
  const { running, queued, limit, pressure, serviceMs } = load;
  const { notice, spare, slowdown, failureShare } = load;
  const figures = [
    running,
    queued,
    Math.round(limit * HUNDREDTHS) / HUNDREDTHS,
    Math.round(pressure * HUNDREDTHS),
    Math.round(serviceMs),
  ] as const;
  const wireNotice = notice && flattenNotice(notice, nowMs);
  const optional = [
    wireNotice,
    spare && Math.round(spare * HUNDREDTHS),
    slowdown && Math.round(slowdown * HUNDREDTHS),
    failureShare && Math.round(failureShare * HUNDREDTHS),
  ] as const;
  const last = optional.findLastIndex((field) => field !== undefined);
  return [...figures, ...optional.slice(0, last + 1)] as unknown as WireLoad;
}

function parseLoad(fields: WireLoad, arrivedAtMs: number): LoadFigures {
  const [running, queued, limit, hundredths, serviceMs, notice] = fields;
  const [spare, slowdown, failureShare] = fields
    .slice(6) as (number | undefined)[];
  return {
    running,
    queued,
    limit,
    pressure: hundredths / HUNDREDTHS,
    serviceMs: serviceMs ?? 0,
    notice: parseNotice(notice, arrivedAtMs),
    spare: spare && spare / HUNDREDTHS,
    slowdown: slowdown && slowdown / HUNDREDTHS,
    failureShare: failureShare && failureShare / HUNDREDTHS,
  };
}

function flattenNotice(notice: BackendNotice, nowMs: number): WireNotice {
  const { instance, requestsPerSecond, isLeaving, saidAtMs } = notice;
  return [
    instance,
    requestsPerSecond ?? null,
    isLeaving ? 1 : 0,
    Math.round(Math.max(0, nowMs - saidAtMs)),
  ];
}

function parseNotice(
  fields: WireNotice | undefined,
  arrivedAtMs: number,
): BackendNotice | undefined {
  if (fields === undefined) {
    return undefined;
  }
  const [instance, requestsPerSecond, isLeaving, ageMs] = fields;
  return {
    instance,
    requestsPerSecond: requestsPerSecond ?? undefined,
    isLeaving: isLeaving === 1,
    saidAtMs: arrivedAtMs - ageMs,
  };
}
