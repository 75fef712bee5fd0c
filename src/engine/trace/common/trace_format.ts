/**
 * The trace format, version 1: JSON lines. The first line describes the recorded
 * process, the next lines are its events with their times, and an optional last
 * line contains the expected outcome of a replay.
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { NodeEvent } from "../../call/common/call_events.ts";
import type { ReplicaEvent } from "../../control/common/replica_reducer.ts";
import type { ReplicationOptions } from "../../control/common/replication_reducer.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import type { EditOutcome } from "../../table/common/table_reducer.ts";

/** The version of the trace format. */
export const TRACE_VERSION = 1;

/** Bytes are encoded as an object with this only key. */
const BYTES_KEY = "$base64";

/** The first line of a node's recording. */
export interface NodeTraceHeader {
  readonly format: "basilpin-trace";
  readonly version: typeof TRACE_VERSION;
  readonly role: "node";
  readonly self: Announcement;
  /** `host:port` of the backend server. */
  readonly backendAddress: string;
}

/** The first line of a control replica's recording. */
export interface ControlTraceHeader {
  readonly format: "basilpin-trace";
  readonly version: typeof TRACE_VERSION;
  readonly role: "control";
  /** Options of the replica at its start, including its recovered storage. */
  readonly start: ReplicationOptions;
}

/** One event, as passed to the event loop's reducer. */
export interface TraceEvent<E = NodeEvent | ReplicaEvent> {
  /** Steady clock in milliseconds. */
  readonly atMs: number;
  readonly event: E;
}

/** The end of one call, as seen by its caller. */
export interface TracedAnswer {
  readonly exchangeId: string;
  /** HTTP status; 0 if the connection was closed without an answer. */
  readonly status: number;
  readonly outcome: string;
}

/** The outcome of a node's trace. */
export interface NodeOutcome {
  /** In the order of sending. */
  readonly answers: readonly TracedAnswer[];
  /** Attempts sent to other nodes. */
  readonly sentToNodes: number;
  /** Attempts sent to the backend server. */
  readonly sentToBackend: number;
  /** Calls in progress at the end of the trace. */
  readonly open: number;
}

/** The answer to one operator's edit. */
export interface TracedEdit {
  readonly editId: string;
  /** Type of the outcome; `EditRefused` or `EditUnknown` if there is none. */
  readonly outcome: EditOutcome["type"] | "EditRefused" | "EditUnknown";
  /** Table version in the outcome; 0 if there is no outcome, or a conflict. */
  readonly version: number;
}

/** The outcome of a control replica's trace. */
export interface ControlOutcome {
  /** In the order of the answers. */
  readonly edits: readonly TracedEdit[];
  /** For each read of the table its version, or 0 if the read was refused. */
  readonly reads: readonly number[];
  /** Version of the table at the end of the trace. */
  readonly tableVersion: number;
}

/** The outcome of a trace. */
export type TraceOutcome = NodeOutcome | ControlOutcome;

/** A parsed recording of a node. */
export interface NodeTrace {
  readonly role: "node";
  readonly header: NodeTraceHeader;
  readonly events: readonly TraceEvent<NodeEvent>[];
  /** The expected outcome; undefined if the trace has none. */
  readonly expected: NodeOutcome | undefined;
}

/** A parsed recording of a control replica. */
export interface ControlTrace {
  readonly role: "control";
  readonly header: ControlTraceHeader;
  readonly events: readonly TraceEvent<ReplicaEvent>[];
  /** The expected outcome; undefined if the trace has none. */
  readonly expected: ControlOutcome | undefined;
}

/** A parsed recording. */
export type Trace = NodeTrace | ControlTrace;

/** The first line of a trace. */
export type TraceHeader = Trace["header"];

/** A line that can't be parsed. */
export interface TraceFault {
  readonly type: "TraceFault";
  /** Line number; the first line is 1. */
  readonly line: number;
  readonly reason: string;
}

const BYTES_SCHEMA = v.instance(Uint8Array);

const FORMAT_FIELDS = {
  format: v.literal("basilpin-trace"),
  version: v.literal(TRACE_VERSION),
};

const NODE_HEADER_SCHEMA = v.object({
  ...FORMAT_FIELDS,
  role: v.literal("node"),
  backendAddress: v.string(),
  self: v.object({
    nodeId: v.string(),
    incarnation: v.number(),
    sequence: v.number(),
    service: v.string(),
    dataCentre: v.string(),
    region: v.string(),
    vm: v.string(),
    ingress: v.string(),
    operator: v.string(),
    slots: v.number(),
    connections: v.number(),
    isDraining: v.boolean(),
  }),
});

const EVENT_SCHEMA = v.strictObject({
  atMs: v.number(),
  event: v.looseObject({ type: v.string() }),
});

const CONTROL_HEADER_SCHEMA = v.object({
  ...FORMAT_FIELDS,
  role: v.literal("control"),
  start: v.strictObject({
    cluster: v.strictObject({
      self: v.string(),
      voters: v.array(v.string()),
      peers: v.array(v.string()),
    }),
    replicaId: v.string(),
    nowMs: v.number(),
    recovered: v.strictObject({
      hardState: v.strictObject({
        term: v.number(),
        votedFor: v.optional(v.string()),
      }),
      snapshot: v.optional(v.strictObject({
        lastIndex: v.number(),
        lastTerm: v.number(),
        configuration: v.strictObject({
          voters: v.array(v.string()),
          learners: v.array(v.string()),
        }),
        payload: BYTES_SCHEMA,
      })),
      entries: v.array(v.strictObject({
        index: v.number(),
        term: v.number(),
        payload: BYTES_SCHEMA,
      })),
    }),
  }),
});

const HEADER_SCHEMA = v.variant("role", [
  NODE_HEADER_SCHEMA,
  CONTROL_HEADER_SCHEMA,
]);

const NODE_EXPECTED_SCHEMA = v.strictObject({
  expected: v.strictObject({
    answers: v.array(v.strictObject({
      exchangeId: v.string(),
      status: v.number(),
      outcome: v.string(),
    })),
    sentToNodes: v.number(),
    sentToBackend: v.number(),
    open: v.number(),
  }),
});

const CONTROL_EXPECTED_SCHEMA = v.strictObject({
  expected: v.strictObject({
    edits: v.array(v.strictObject({
      editId: v.string(),
      outcome: v.string(),
      version: v.number(),
    })),
    reads: v.array(v.number()),
    tableVersion: v.number(),
  }),
});

/** Parses a recording; returns the first invalid line as a fault. */
export function parseTrace(text: string): Result<Trace, TraceFault> {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  const header = parseLine(HEADER_SCHEMA, lines[0], 1);
  if (header.isErr()) {
    return err(header.error);
  }
  const { role } = header.value;
  const expectedSchema = role === "node"
    ? NODE_EXPECTED_SCHEMA
    : CONTROL_EXPECTED_SCHEMA;
  const events: TraceEvent[] = [];
  let expected: TraceOutcome | undefined;
  for (let i = 1; i < lines.length; i++) {
    const isLast = i === lines.length - 1;
    const expectedLine = isLast
      ? parseLine(expectedSchema, lines[i], i + 1)
      : undefined;
    if (expectedLine?.isOk()) {
      expected = expectedLine.value.expected as TraceOutcome;
      continue;
    }
    const event = parseLine(EVENT_SCHEMA, lines[i], i + 1);
    if (event.isErr()) {
      return err(event.error);
    }
    events.push(event.value as unknown as TraceEvent);
  }
  const fault = checkEventOrder(events);
  const parsed = { role, header: header.value, events, expected } as Trace;
  return fault === undefined ? ok(parsed) : err(fault);
}

/** Formats one line. */
export function formatTraceLine(
  line: TraceHeader | TraceEvent | { readonly expected: TraceOutcome },
): string {
  return `${JSON.stringify(line, encodeBytes)}\n`;
}

/**
 * Encodes bytes as base64. Reads the property from its object, because `value`
 * may be the result of a Buffer's `toJSON`.
 */
function encodeBytes(this: unknown, key: string, value: unknown): unknown {
  const raw = (this as Readonly<Record<string, unknown>>)[key];
  return raw instanceof Uint8Array
    ? { [BYTES_KEY]: Buffer.from(raw).toString("base64") }
    : value;
}

function decodeBytes(_key: string, value: unknown): unknown {
  const text = (value as Readonly<Record<string, unknown>> | null)?.[BYTES_KEY];
  return typeof text === "string"
    ? new Uint8Array(Buffer.from(text, "base64"))
    : value;
}

function checkEventOrder(
  events: readonly TraceEvent[],
): TraceFault | undefined {
  const index = events.findIndex((event, i) =>
    i > 0 && event.atMs < events[i - 1]!.atMs
  );
  return index < 0
    ? undefined
    : createFault(index + 2, "Time goes backwards here");
}

function parseLine<T extends v.GenericSchema>(
  schema: T,
  text: string | undefined,
  line: number,
): Result<v.InferOutput<T>, TraceFault> {
  let value: unknown;
  try {
    value = JSON.parse(text ?? "", decodeBytes);
  } catch {
    return err(createFault(line, "Line is not JSON"));
  }
  const parsed = v.safeParse(schema, value);
  if (parsed.success) {
    return ok(parsed.output);
  }
  const issue = parsed.issues[0];
  const key = v.getDotPath(issue) ?? "line";
  return err(createFault(line, `${key}: ${issue.message}`));
}

function createFault(line: number, reason: string): TraceFault {
  return { type: "TraceFault", line, reason };
}
