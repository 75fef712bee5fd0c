/** What the logs of several processes say of one request. */

/** One line of a log. */
export interface LogRecord {
  readonly timeMs: number;
  readonly process: string;
  readonly event: string;
  /** What the line says besides. */
  readonly inputs: Readonly<Record<string, unknown>>;
}

/** What became of a request, and what changed around it. */
export interface Explanation {
  readonly requestId: string;
  /** Lines that name the request, oldest first. */
  readonly decisions: readonly LogRecord[];
  /** Changes of what the same processes believed, shortly before or amid. */
  readonly changes: readonly LogRecord[];
  /** The decision that the others follow from; undefined where none failed. */
  readonly cause: LogRecord | undefined;
}

/** Events that change what a process believes. */
const CHANGES: ReadonlySet<string> = new Set([
  "BackendChanged",
  "ControlLinked",
  "ControlLost",
  "DrainStarted",
  "IncarnationRenewed",
  "LinkLost",
  "ProcessStarted",
  "ProcessStopped",
  "RoutesInForce",
  "SettingsInvalid",
  "SettingsRead",
]);
/** Events that say why a call went no further. */
const FAILURES: ReadonlySet<string> = new Set([
  "CallFailed",
  "CallMoved",
  "CallNotAnswered",
]);
/** A change so long before a request's first line may still explain it. */
const BEFORE_MS = 5_000;
/** Fields that all lines have, or that are shown elsewhere. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  "dataCentre",
  "logLevel",
  "process",
  "requestId",
  "role",
]);

/** Parses a line; undefined for one that is not of a log of ours. */
export function parseLogLine(
  line: string,
): (LogRecord & { readonly requestId: string | undefined }) | undefined {
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
  };
}

/** Explains a request by the lines of all logs, in any order. */
export function explainRequest(
  lines: Iterable<string>,
  requestId: string,
): Explanation {
  const records = [...lines].flatMap((line) => parseLogLine(line) ?? [])
    .sort((a, b) => a.timeMs - b.timeMs);
  const decisions = records.filter((record) => record.requestId === requestId);
  const first = decisions[0]?.timeMs ?? Infinity;
  const last = decisions.at(-1)?.timeMs ?? -Infinity;
  const changes = records.filter(({ event, timeMs }) =>
    CHANGES.has(event) && timeMs >= first - BEFORE_MS && timeMs <= last
  );
  return {
    requestId,
    decisions: decisions.map(dropRequestId),
    changes: changes.map(dropRequestId),
    cause: findCause(decisions),
  };
}

/** What failed first: the rest follows from it. */
function findCause(decisions: readonly LogRecord[]): LogRecord | undefined {
  const cause = decisions.find(({ event }) => FAILURES.has(event));
  return cause && dropRequestId(cause);
}

function dropRequestId(record: LogRecord): LogRecord {
  const { timeMs, process, event, inputs } = record;
  return { timeMs, process, event, inputs };
}
