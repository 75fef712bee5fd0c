/** Checks recordings against what the callers saw, and writes them down. */
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

/** Where recordings are kept. */
export const TRACE_FOLDER = "traces";

/** What was seen from outside while a process recorded. */
export type Observation =
  | { readonly role: "node"; readonly calls: readonly ObservedCall[] }
  | { readonly role: "control"; readonly outcome: ControlOutcome };

/** A recording, and what it must come to. */
export interface Recording {
  /** Name of the file, without its ending. */
  readonly name: string;
  /** File that the process wrote. */
  readonly file: string;
  readonly observation: Observation;
}

/** Reads, replays, checks and writes a recording; returns its lines. */
export function writeRecording(recording: Recording): Result<number, string> {
  const text = trimTornLine(readFileSync(recording.file, "utf8"));
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
  const whole = text + formatTraceLine({ expected: outcome });
  writeFileSync(join(TRACE_FOLDER, `${recording.name}.trace`), whole);
  return ok(whole.split("\n").length - 1);
}

/** A killed recorder may leave half a line. */
function trimTornLine(text: string): string {
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
  return ["The recording is of another role"];
}

/** Each call at the edge must have ended as its caller saw it. */
function compareCalls(
  trace: NodeTrace,
  outcome: NodeOutcome,
  observed: readonly ObservedCall[],
): readonly string[] {
  const replayed = collectCalls(trace, outcome);
  const differing: string[] = [];
  for (const { name, seen, hasLeft } of observed) {
    const answers = replayed.get(name)?.shift();
    const isSame = answers?.join() === seen.join();
    if (answers === undefined || (!isSame && !hasLeft)) {
      const got = answers?.join() ?? "no such call";
      differing.push(
        `${name}: callers saw ${seen.join()}, replay gives ${got}`,
      );
    }
  }
  const left = [...replayed].filter(([, calls]) => calls.length > 0);
  return [...differing, ...left.map(([name]) => `${name}: not observed`)];
}

/** Lists the answers to each call at the edge, by name, in their order. */
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
