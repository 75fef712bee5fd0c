/** Explains a request from the logs of several processes. */

/** One log line. */
export interface LogRecord {
  readonly timeMs: number;
  readonly process: string;
  readonly event: string;
  /** The other fields of the line's context. */
  readonly inputs: Readonly<Record<string, unknown>>;
}

/** A log line with the fields that all lines of a process share. */
export interface ParsedLine extends LogRecord {
  readonly requestId: string | undefined;
  /** `node` or `control`. */
  readonly role: string;
}

/** The decisions on a request, and state changes around that time. */
export interface Explanation {
  readonly requestId: string;
  /** Lines with the id of the request, oldest first. */
  readonly decisions: readonly LogRecord[];
  /** State changes of all processes, shortly before or during the request. */
  readonly changes: readonly LogRecord[];
  /** The first failure, which caused the later ones; undefined if none failed. */
  readonly cause: LogRecord | undefined;
}

/** Events that change the state of a process or its view of others. */
const CHANGE_EVENTS: ReadonlySet<string> = new Set([
  "BackendEnded",
  "BackendChanged",
  "BackendNoticeChanged",
  "ControlLinked",
  "ControlLost",
  "DrainStarted",
  "IncarnationRenewed",
  "LinkLost",
  "MemberNoticeChanged",
  "ProcessStarted",
  "ProcessStopped",
  "RoutesInForce",
  "RoutesSetAside",
  "SettingsInvalid",
  "SettingsRead",
  "SuspectChanged",
]);
/** Events that report why a call failed or was moved. */
const FAILURE_EVENTS: ReadonlySet<string> = new Set([
  "CallFailed",
  "CallMoved",
  "CallNotAnswered",
]);
/** Time before a request's first line from which changes are listed. */
const CHANGE_LOOKBACK_MS = 5_000;
/** Fields that occur on all lines or are reported separately. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  "dataCentre",
  "logLevel",
  "process",
  "requestId",
  "role",
]);

/** Parses a line; undefined if it isn't a log line of this program. */
export function parseLogLine(line: string): ParsedLine | undefined {
  let value: unknown;
  try {
    value = JSON.parse(line);
  } catch {
    return undefined;
  }
  const { context, message, time } = (value ?? {}) as {
    readonly context?: Readonly<Record<string, unknown>>;
    readonly message?: unknown;
    readonly time?: unknown;
  };
  if (context === undefined || typeof time !== "number") {
    return undefined;
  }
  const inputs = Object.fromEntries(
    Object.entries(context).filter(([name]) => !COMMON_FIELDS.has(name)),
  );
  const { requestId } = context;
  return {
    timeMs: time,
    process: String(context["process"]),
    event: String(message),
    inputs,
    requestId: typeof requestId === "string" ? requestId : undefined,
    role: String(context["role"]),
  };
}

/** Explains a request from the lines of all logs, in any order. */
export function explainRequest(
  lines: Iterable<string>,
  requestId: string,
): Explanation {
  const records = [...lines].flatMap((line) => parseLogLine(line) ?? [])
    .sort((a, b) => a.timeMs - b.timeMs);
  const decisions = records.filter((record) => record.requestId === requestId);
  const firstMs = decisions[0]?.timeMs ?? Infinity;
  const lastMs = decisions.at(-1)?.timeMs ?? -Infinity;
  const changes = records.filter(({ event, timeMs }) =>
    CHANGE_EVENTS.has(event) && timeMs >= firstMs - CHANGE_LOOKBACK_MS &&
    timeMs <= lastMs
  );
  return {
    requestId,
    decisions: decisions.map(removeRequestId),
    changes: changes.map(removeRequestId),
    cause: findCause(decisions),
  };
}

/** Finds the first failure, which caused the later ones. */
function findCause(decisions: readonly LogRecord[]): LogRecord | undefined {
  const cause = decisions.find(({ event }) => FAILURE_EVENTS.has(event));
  return cause && removeRequestId(cause);
}

function removeRequestId(record: LogRecord): LogRecord {
  const { timeMs, process, event, inputs } = record;
  return { timeMs, process, event, inputs };
}
