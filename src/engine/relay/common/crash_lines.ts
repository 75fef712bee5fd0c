/** Log lines on ends of backend servers, and on requests suspected of them. */
import { countEndsAlone } from "../../quarantine/common/crash_evidence.ts";
import type { CrashEvidence } from "../../quarantine/common/crash_evidence.ts";
import type {
  RecordedEnd,
  VerdictChange,
} from "../../quarantine/common/crash_knowledge.ts";
import type { RelayLine } from "./relay_log.ts";

/** Most fingerprints in one line. */
const MAX_LISTED = 16;

/** Creates the line of an end of the backend server. */
export function createBackendEndedLine(
  details: {
    readonly service: string;
    readonly instance: string;
    /** What showed it. */
    readonly sign: string;
    /** Whether it counts as evidence against what it ran. */
    readonly isBlamed: boolean;
    readonly recorded: readonly RecordedEnd[];
  },
): RelayLine {
  const { service, instance, sign, isBlamed, recorded } = details;
  return {
    event: "BackendEnded",
    isFailure: true,
    service,
    instance,
    reason: sign,
    isBlamed,
    runs: recorded.length,
    alone: recorded.filter(({ end }) => end.wasAlone).length,
    fingerprints: recorded.slice(0, MAX_LISTED)
      .map(({ fingerprints }) => fingerprints[0]),
  };
}

/** Creates the line of a request on which the verdict changes. */
export function createVerdictLine(
  change: VerdictChange,
): RelayLine {
  const { service, evidence, before, after, source } = change;
  return {
    event: "SuspectChanged",
    isFailure: after === "Quarantined",
    service,
    reason: after,
    before,
    source,
    ...describeEvidence([evidence]),
    ...describeAnswer(change),
  };
}

/** Describes the answer that changed a verdict, and the ends it took back. */
function describeAnswer(
  { answer, former }: VerdictChange,
): Readonly<Record<string, unknown>> {
  if (answer === undefined) {
    return {};
  }
  const { status, answeredBy, runMs, timeLeftMs } = answer;
  return {
    answerStatus: status,
    answeredBy,
    answerMs: runMs,
    answerTimeLeftMs: timeLeftMs,
    formerEnds: former?.ends.map(({ instance, wasAlone, afterMs }) => ({
      instance,
      wasAlone,
      afterMs,
    })),
  };
}

/** Describes evidence in the fields of a line. */
export function describeEvidence(
  evidence: readonly CrashEvidence[],
): Readonly<Record<string, unknown>> {
  const instances = evidence.flatMap(({ ends }) =>
    ends.map(({ instance }) => instance)
  );
  return {
    fingerprint: evidence[0]?.fingerprint,
    ends: [...new Set(instances)],
    endsAlone: Math.max(0, ...evidence.map(countEndsAlone)),
  };
}
