/** Evidence against requests that end backend servers, at one relay node. */
import { readSteadyMs } from "../base/node/steady_clock.ts";
import { CrashKnowledge } from "../engine/quarantine/common/crash_knowledge.ts";
import type { VerdictChange } from "../engine/quarantine/common/crash_knowledge.ts";
import { hasCaller } from "../engine/quarantine/common/request_identity.ts";
import type { CrashReport } from "../engine/quarantine/common/crash_messages.ts";
import { computeRequestDigest } from "../engine/quarantine/node/request_digest.ts";
import { createVerdictLine } from "../engine/relay/common/crash_lines.ts";
import type { RelayLog } from "../engine/relay/common/relay_log.ts";
import type { Metrics } from "../engine/telemetry/node/metrics.ts";

/** Creates what a node knows, and reports its changes to logs and metrics. */
export function createCrashKnowledge(
  { log, metrics, onFound }: {
    readonly log: RelayLog;
    readonly metrics: Metrics;
    /** Called with evidence that this node found itself. */
    readonly onFound: (report: CrashReport) => void;
  },
): CrashKnowledge {
  const knowledge = new CrashKnowledge({
    computeDigest: computeRequestDigest,
    readClock: readSteadyMs,
    onFound,
    onVerdictChanged: (change) => {
      if (isLogged(change)) {
        log.write(createVerdictLine(change));
      }
    },
  });
  for (const [verdict, name, description] of VERDICT_GAUGES) {
    metrics.addLabelledGauge(name, {
      description,
      label: "service",
      read: () =>
        knowledge.listServices().map((service) =>
          [service, knowledge.countByVerdict(service)[verdict]] as const
        ),
    });
  }
  return knowledge;
}

const VERDICT_GAUGES = [
  [
    "Suspect",
    "suspect_requests",
    "Requests that may have ended a backend server, with and without caller",
  ],
  [
    "Quarantined",
    "quarantined_requests",
    "Requests that ended backend servers and are refused",
  ],
] as const;

/**
 * Whether a changed verdict is logged: once by the node that finds it, and by
 * all nodes if requests are refused for it.
 */
function isLogged(
  { evidence, source, before, after }: VerdictChange,
): boolean {
  const isRefusing = [before, after].includes("Quarantined");
  return !hasCaller(evidence.fingerprint) &&
    (isRefusing || source === "own");
}
