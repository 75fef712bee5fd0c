/** Knowledge of crashes for tests. */
import { CrashKnowledge } from "../../quarantine/common/crash_knowledge.ts";
import type { CrashKnowledgeOptions } from "../../quarantine/common/crash_knowledge.ts";
import { computeRequestDigest } from "../../quarantine/node/request_digest.ts";

/** Creates the knowledge of a node whose clock stands still, unless given. */
export function createCrashKnowledge(
  options: Partial<CrashKnowledgeOptions> = {},
): CrashKnowledge {
  return new CrashKnowledge({
    computeDigest: computeRequestDigest,
    readClock: () => 1_000,
    onFound: () => {},
    onVerdictChanged: () => {},
    ...options,
  });
}
