/** Checks recorded traces against outside observations, and stores them. */
import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { err, ok, type Result } from "neverthrow";
import {
  compareOutcomes,
  replayTrace,
} from "../../src/engine/trace/common/replay.ts";
import {
  formatTraceLine,
  parseTrace,
} from "../../src/engine/trace/common/trace_format.ts";
import type {
  ControlOutcome,
  NodeOutcome,
  NodeTrace,
  Trace,
} from "../../src/engine/trace/common/trace_format.ts";
import { formatCallName } from "./callers.ts";
import type { ObservedCall } from "./callers.ts";

/** Folder of the stored traces. */
export const TRACE_FOLDER = "traces";

/** What callers or operators observed while a process recorded its trace. */
export type Observation =
  | { readonly role: "node"; readonly calls: readonly ObservedCall[] }
  | { readonly role: "control"; readonly outcome: ControlOutcome };

/** A recorded trace, and the observation that its replay must match. */
export interface Recording {
  /** Name of the stored file, without its extension. */
  readonly name: string;
  /** Path of the file that the process wrote. */
  readonly file: string;
  readonly observation: Observation;
}

/** Reads, replays, checks and stores a recording; returns its line count. */
export function writeRecording(recording: Recording): Result<number, string> {
  const text = trimIncompleteLine(readFileSync(recording.file, "utf8"));
  const parsed = parseTrace(text);
  if (parsed.isErr()) {
    return err(`line ${parsed.error.line}: ${parsed.error.reason}`);
  }
  const trace = parsed.value;
  const { outcome } = replayTrace(trace);
  const differing = compareObserved(trace, recording.observation);
  if (differing.length > 0) {
    return err(differing.join("\n"));
  }
  const completeTrace = text + formatTraceLine({ expected: outcome });
  writeFileSync(join(TRACE_FOLDER, `${recording.name}.trace`), completeTrace);
  return ok(completeTrace.split("\n").length - 1);
}

/** Removes the incomplete last line that a killed process may leave. */
function trimIncompleteLine(text: string): string {
  return text.slice(0, text.lastIndexOf("\n") + 1);
}

function compareObserved(
  trace: Trace,
  observation: Observation,
): readonly string[] {
  const { outcome } = replayTrace(trace);
  if (trace.role === "node" && observation.role === "node") {
    return compareCalls(trace, outcome as NodeOutcome, observation.calls);
  }
  if (trace.role === "control" && observation.role === "control") {
    return compareOutcomes(observation.outcome, outcome);
  }
  return ["The role of the trace is not that of the observation"];
}

/**
 * Compares the replayed answers of calls at the edge with those observed. They
 * may differ if the caller disconnected, but each call must be in the trace.
 */
function compareCalls(
  trace: NodeTrace,
  outcome: NodeOutcome,
  observed: readonly ObservedCall[],
): readonly string[] {
  const replayed = collectCalls(trace, outcome);
  const differing: string[] = [];
  for (const { name, answers, hasDisconnected } of observed) {
    const replayedAnswers = replayed.get(name)?.shift();
    const isEqual = replayedAnswers?.join() === answers.join();
    if (replayedAnswers === undefined || (!isEqual && !hasDisconnected)) {
      const actual = replayedAnswers?.join() ?? "no such call";
      differing.push(
        `${name}: caller received ${answers.join()}, replay yields ${actual}`,
      );
    }
  }
  const unobserved = [...replayed].filter(([, calls]) => calls.length > 0);
  return [...differing, ...unobserved.map(([name]) => `${name}: not observed`)];
}

/** Collects the answers to calls at the edge, by name, in order of arrival. */
function collectCalls(
  trace: NodeTrace,
  outcome: NodeOutcome,
): Map<string, (readonly string[])[]> {
  const calls = new Map<string, (readonly string[])[]>();
  for (const { event } of trace.events) {
    if (event.type === "CallReceived" && event.listener === "edge") {
      const name = formatCallName(event, event.requestKey?.key);
      const answers = outcome.answers
        .filter(({ exchangeId }) => exchangeId === event.exchangeId)
        .map((answer) => `${answer.status} ${answer.outcome}`);
      calls.set(name, [...calls.get(name) ?? [], answers]);
    }
  }
  return calls;
}
