/** Explains from logs how a version of the routes reached all processes. */
import { parseLogLine } from "./explanation.ts";
import type { LogRecord, ParsedLine } from "./explanation.ts";

/** A line on the version, with its delay. */
export interface RoutesStep extends LogRecord {
  /**
   * Time since the version was accepted, in milliseconds, by the wall clocks
   * of two processes; undefined if no line says that it was accepted.
   */
  readonly delayMs: number | undefined;
}

/** A node that never reported the version, or a later one. */
export interface MissingNode {
  readonly process: string;
  /** Version that it last reported; undefined if none. */
  readonly inForce: number | undefined;
  /** Time of its last line of any kind. */
  readonly lastLineMs: number;
  /** Its last lines on control replicas, routes, starts and stops. */
  readonly changes: readonly LogRecord[];
}

/** The way of one version of the routes. */
export interface RoutesExplanation {
  readonly version: number;
  /** The first answer that accepted it; undefined if no line has it. */
  readonly accepted: LogRecord | undefined;
  /** All lines on the version, oldest first; of reads the first one each. */
  readonly steps: readonly RoutesStep[];
  /** Reads that began after the acceptance and returned an older version. */
  readonly olderReads: readonly RoutesStep[];
  /** Lines on the version with another text than the accepted one. */
  readonly otherTexts: readonly RoutesStep[];
  readonly missing: readonly MissingNode[];
}

/** Events that name the version of a change, or of routes. */
const VERSION_EVENTS: ReadonlySet<string> = new Set([
  "RoutesApplied",
  "RoutesChangeAccepted",
  "RoutesChangeRefused",
  "RoutesInForce",
  "RoutesNotApplied",
  "RoutesRead",
  "RoutesSetAside",
]);
/** Events that only accepted routes may cause. */
const ACCEPTED_EVENTS: ReadonlySet<string> = new Set([
  "RoutesApplied",
  "RoutesInForce",
  "RoutesRead",
]);
/** Events that may explain why a node lacks a version. */
const NODE_EVENTS: ReadonlySet<string> = new Set([
  "ControlLinked",
  "ControlLost",
  "DrainStarted",
  "ProcessStarted",
  "ProcessStopped",
  "RoutesInForce",
  "RoutesSetAside",
]);
/** Lines that are listed of a node that lacks the version. */
const MAX_NODE_CHANGES = 5;

/** Explains a version of the routes from all lines, in any order. */
export function explainRoutes(
  lines: Iterable<string>,
  version: number,
): RoutesExplanation {
  const records = [...lines].flatMap((line) => parseLogLine(line) ?? [])
    .sort((a, b) => a.timeMs - b.timeMs);
  const named = records.filter((record) => isStep(record, version));
  const accepted = findAccepted(named);
  const createStep = (record: ParsedLine) => addDelay(record, accepted);
  const digest = accepted?.inputs["digest"];
  return {
    version,
    accepted: accepted && removeFields(accepted),
    steps: selectFirstReads(named).map(createStep),
    olderReads: records
      .filter((record) => isOlderRead(record, version, accepted))
      .map(createStep),
    otherTexts: named
      .filter(({ event, inputs }) =>
        ACCEPTED_EVENTS.has(event) && inputs["version"] === version &&
        digest !== undefined && inputs["digest"] !== digest
      )
      .map(createStep),
    missing: listMissing(records, version),
  };
}

/** Whether a line names the version, or says that a node skipped it. */
function isStep({ event, inputs }: LogRecord, version: number): boolean {
  const { version: named, before } = inputs;
  const isSkipped = event === "RoutesInForce" && Number(before) < version &&
    Number(named) > version;
  return VERSION_EVENTS.has(event) && (named === version || isSkipped);
}

function findAccepted(named: readonly ParsedLine[]): ParsedLine | undefined {
  const answers = named
    .filter(({ event }) => event === "RoutesChangeAccepted");
  return answers.find(({ inputs }) => inputs["isRepeat"] !== true) ??
    answers[0];
}

/** Leaves out all reads at a process but the first. */
function selectFirstReads(
  named: readonly ParsedLine[],
): readonly ParsedLine[] {
  const seen = new Set<string>();
  return named.filter(({ event, process }) => {
    if (event !== "RoutesRead") {
      return true;
    }
    const isFirst = !seen.has(process);
    seen.add(process);
    return isFirst;
  });
}

function isOlderRead(
  { event, inputs, timeMs }: LogRecord,
  version: number,
  accepted: LogRecord | undefined,
): boolean {
  const startedAtMs = timeMs - Number(inputs["elapsedMs"] ?? 0);
  return event === "RoutesRead" && accepted !== undefined &&
    Number(inputs["version"]) < version && startedAtMs > accepted.timeMs;
}

function listMissing(
  records: readonly ParsedLine[],
  version: number,
): readonly MissingNode[] {
  const nodes = new Map<string, ParsedLine[]>();
  for (const record of records.filter(({ role }) => role === "node")) {
    const own = nodes.get(record.process) ?? [];
    nodes.set(record.process, own);
    own.push(record);
  }
  return [...nodes].flatMap(([process, own]) => {
    const versions = own
      .filter(({ event }) => event === "RoutesInForce")
      .map(({ inputs }) => Number(inputs["version"]));
    const hasVersion = versions.some((inForce) => inForce >= version);
    return hasVersion ? [] : [{
      process,
      inForce: versions.at(-1),
      lastLineMs: own.at(-1)!.timeMs,
      changes: own.filter(({ event }) => NODE_EVENTS.has(event))
        .slice(-MAX_NODE_CHANGES)
        .map(removeFields),
    }];
  });
}

function addDelay(
  record: ParsedLine,
  accepted: LogRecord | undefined,
): RoutesStep {
  const delayMs = accepted && record.timeMs - accepted.timeMs;
  return { ...removeFields(record), delayMs };
}

function removeFields(record: ParsedLine): LogRecord {
  const { timeMs, process, event, inputs } = record;
  return { timeMs, process, event, inputs };
}
