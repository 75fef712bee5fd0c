/**
 * The trace format, version 1: JSON lines. The first line says what process it
 * was recorded from, the next ones are its events with their times, and one
 * last line may state the outcome that a replay is compared with.
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { NodeEvent } from "../../call/common/call_events.ts";
import type { Announcement } from "../../membership/common/announcement.ts";

/** The only version so far. */
export const TRACE_VERSION = 1;

/** The first line. */
export interface TraceHeader {
  readonly format: "basilpin-trace";
  readonly version: typeof TRACE_VERSION;
  readonly role: "node";
  readonly self: Announcement;
  /** `host:port` of the backend server. */
  readonly backendAddress: string;
}

/** One event as it went into the loop. */
export interface TraceEvent {
  /** Wall clock in milliseconds. */
  readonly atMs: number;
  readonly event: NodeEvent;
}

/** How one call ended, as its caller saw it. */
export interface TracedAnswer {
  readonly exchangeId: string;
  /** HTTP status; 0 where the connection was dropped. */
  readonly status: number;
  readonly outcome: string;
}

/** What came of a trace. */
export interface TraceOutcome {
  /** In the order in which they went out. */
  readonly answers: readonly TracedAnswer[];
  /** Attempts sent to other nodes. */
  readonly sentToNodes: number;
  /** Requests handed to the backend server. */
  readonly sentToBackend: number;
  /** Calls that are still open at the end. */
  readonly open: number;
}

/** A whole recording. */
export interface Trace {
  readonly header: TraceHeader;
  readonly events: readonly TraceEvent[];
  /** The stated outcome; undefined where the trace has none. */
  readonly expected: TraceOutcome | undefined;
}

/** A line that can't be read. */
export interface TraceFault {
  readonly type: "TraceFault";
  /** From 1. */
  readonly line: number;
  readonly reason: string;
}

const HEADER = v.object({
  format: v.literal("basilpin-trace"),
  version: v.literal(TRACE_VERSION),
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

const EXPECTED = v.strictObject({
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

/** Reads a recording; the first bad line ends it. */
export function parseTrace(text: string): Result<Trace, TraceFault> {
  const lines = text.split("\n").filter((line) => line.trim() !== "");
  const header = parseLine(HEADER, lines[0], 1);
  if (header.isErr()) {
    return err(header.error);
  }
  const events: TraceEvent[] = [];
  let expected: TraceOutcome | undefined;
  for (let i = 1; i < lines.length; i++) {
    const isLast = i === lines.length - 1;
    const stated = isLast ? parseLine(EXPECTED, lines[i], i + 1) : undefined;
    if (stated?.isOk()) {
      expected = stated.value.expected;
      continue;
    }
    const event = parseLine(EVENT, lines[i], i + 1);
    if (event.isErr()) {
      return err(event.error);
    }
    events.push(event.value as unknown as TraceEvent);
  }
  const checked = checkOrder(events);
  const parsed = { header: header.value as TraceHeader, events, expected };
  return checked === undefined ? ok(parsed) : err(checked);
}

/** Writes one line. */
export function formatTraceLine(
  line: TraceHeader | TraceEvent | { readonly expected: TraceOutcome },
): string {
  return `${JSON.stringify(line)}\n`;
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
    value = JSON.parse(text ?? "");
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
