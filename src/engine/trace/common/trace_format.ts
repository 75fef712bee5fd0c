/**
 * The trace format, version 1: JSON lines. The first line says what process it
 * was recorded from, the next ones are its events with their times, and one
 * last line may state the outcome that a replay is compared with.
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { NodeEvent } from "../../call/common/call_events.ts";
import type { ReplicaEvent } from "../../control/common/replica_reducer.ts";
import type { ReplicationOptions } from "../../control/common/replication_reducer.ts";
import type { Announcement } from "../../membership/common/announcement.ts";
import type { EditOutcome } from "../../table/common/table_reducer.ts";

/** The only version so far. */
export const TRACE_VERSION = 1;

/** Bytes stand as an object with this one key. */
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
  /** What the replica started from, its disk included. */
  readonly start: ReplicationOptions;
}

/** One event as it went into the loop. */
export interface TraceEvent<E = NodeEvent | ReplicaEvent> {
  /** Wall clock in milliseconds. */
  readonly atMs: number;
  readonly event: E;
}

/** How one call ended, as its caller saw it. */
export interface TracedAnswer {
  readonly exchangeId: string;
  /** HTTP status; 0 where the connection was dropped. */
  readonly status: number;
  readonly outcome: string;
}

/** What came of a node's trace. */
export interface NodeOutcome {
  /** In the order in which they went out. */
  readonly answers: readonly TracedAnswer[];
  /** Attempts sent to other nodes. */
  readonly sentToNodes: number;
  /** Requests handed to the backend server. */
  readonly sentToBackend: number;
  /** Calls that are still open at the end. */
  readonly open: number;
}

/** How one operator's edit ended. */
export interface TracedEdit {
  readonly editId: string;
  /** Type of the outcome; `EditRefused` and `EditUnknown` without one. */
  readonly outcome: EditOutcome["type"] | "EditRefused" | "EditUnknown";
  /** Version that it is in; 0 where it isn't accepted. */
  readonly version: number;
}

/** What came of a control replica's trace. */
export interface ControlOutcome {
  /** In the order in which they were answered. */
  readonly edits: readonly TracedEdit[];
  /** Reads of the table: the version, or 0 where it was refused. */
  readonly reads: readonly number[];
  /** Version of the table at the end. */
  readonly tableVersion: number;
}

/** What came of a trace. */
export type TraceOutcome = NodeOutcome | ControlOutcome;

/** A whole recording of a node. */
export interface NodeTrace {
  readonly role: "node";
  readonly header: NodeTraceHeader;
  readonly events: readonly TraceEvent<NodeEvent>[];
  /** The stated outcome; undefined where the trace has none. */
  readonly expected: NodeOutcome | undefined;
}

/** A whole recording of a control replica. */
export interface ControlTrace {
  readonly role: "control";
  readonly header: ControlTraceHeader;
  readonly events: readonly TraceEvent<ReplicaEvent>[];
  /** The stated outcome; undefined where the trace has none. */
  readonly expected: ControlOutcome | undefined;
}

/** A whole recording. */
export type Trace = NodeTrace | ControlTrace;

/** The first line. */
export type TraceHeader = Trace["header"];

/** A line that can't be read. */
export interface TraceFault {
  readonly type: "TraceFault";
  /** From 1. */
  readonly line: number;
  readonly reason: string;
}

const BYTES = v.instance(Uint8Array);

const PREFIX = {
  format: v.literal("basilpin-trace"),
  version: v.literal(TRACE_VERSION),
};

const NODE_HEADER = v.object({
  ...PREFIX,
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

const EVENT = v.strictObject({
  atMs: v.number(),
  event: v.looseObject({ type: v.string() }),
});

const CONTROL_HEADER = v.object({
  ...PREFIX,
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
        payload: BYTES,
      })),
      entries: v.array(v.strictObject({
        index: v.number(),
        term: v.number(),
        payload: BYTES,
      })),
    }),
  }),
});

const HEADER = v.variant("role", [NODE_HEADER, CONTROL_HEADER]);

const NODE_EXPECTED = v.strictObject({
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

const CONTROL_EXPECTED = v.strictObject({
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

/** Reads a recording; the first bad line ends it. */
export function parseTrace(text: string): Result<Trace, TraceFault> {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  const header = parseLine(HEADER, lines[0], 1);
  if (header.isErr()) {
    return err(header.error);
  }
  const { role } = header.value;
  const stated = role === "node" ? NODE_EXPECTED : CONTROL_EXPECTED;
  const events: TraceEvent[] = [];
  let expected: TraceOutcome | undefined;
  for (let i = 1; i < lines.length; i++) {
    const isLast = i === lines.length - 1;
    const end = isLast ? parseLine(stated, lines[i], i + 1) : undefined;
    if (end?.isOk()) {
      expected = end.value.expected as TraceOutcome;
      continue;
    }
    const event = parseLine(EVENT, lines[i], i + 1);
    if (event.isErr()) {
      return err(event.error);
    }
    events.push(event.value as unknown as TraceEvent);
  }
  const fault = checkOrder(events);
  const parsed = { role, header: header.value, events, expected } as Trace;
  return fault === undefined ? ok(parsed) : err(fault);
}

/** Writes one line. */
export function formatTraceLine(
  line: TraceHeader | TraceEvent | { readonly expected: TraceOutcome },
): string {
  return `${JSON.stringify(line, encodeBytes)}\n`;
}

/**
 * Puts bytes as base64 text; `value` may have passed through the `toJSON` of
 * a Buffer, so the holder is looked at.
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

function checkOrder(events: readonly TraceEvent[]): TraceFault | undefined {
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
