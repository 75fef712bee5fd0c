/** Opens gates for tests. */
import { GateCalls } from "../node/gate_calls.ts";
import type { GateCallsOptions } from "../node/gate_options.ts";
import { createCrashKnowledge } from "./crash_fakes.ts";
import { DIALECT, MEMORY } from "./gate_fakes.ts";

/** Opens a gate that has no backend server yet; it logs and counts nothing. */
export function openGate(options: Partial<GateCallsOptions>): GateCalls {
  return new GateCalls({
    memory: MEMORY,
    dialect: DIALECT,
    getDrainTimes: () => undefined,
    readClock: () => 1_000,
    log: { write: () => {} },
    loop: { lagMs: 0, runAfterPendingReads: (run) => run() },
    isRoomMeasured: () => false,
    isLeaf: () => true,
    maxConnections: () => 4,
    getObjectiveMs: () => 500,
    recordRun: () => {},
    recordArrival: () => {},
    recordLimitedCall: () => {},
    onBackendLeaving: () => {},
    onBackendLost: () => {},
    ingress: "a:1",
    crashes: createCrashKnowledge(),
    countEnd: () => {},
    countSuspect: () => {},
    countProof: () => {},
    ...options,
  });
}
