/** Suspects run one at a time; guilty ones are quarantined, others cleared. */
import { expect } from "chai";
import fc from "fast-check";
import {
  INITIAL_QUARANTINE,
  QUARANTINE_MS,
  reduceQuarantine,
} from "../common/quarantine_reducer.ts";
import type { QuarantineState } from "../common/quarantine_reducer.ts";
import type {
  QuarantineEffect,
  QuarantineEvent,
} from "../common/quarantine_reducer.ts";

const GUILTY = "photo-batch|d1";
const INNOCENT = "photo-batch|d2";
const TIMEOUT_MS = 1_000;

/** Applies events to the reducer at a settable time. */
class Ledger {
  state: QuarantineState = INITIAL_QUARANTINE;
  nowMs = 0;

  apply(event: QuarantineEvent): readonly QuarantineEffect[] {
    const step = reduceQuarantine(this.state, event, this.nowMs);
    this.state = step.state;
    return step.effects;
  }

  requestRun(nodeId: string, fingerprint: string): QuarantineEffect {
    return this.apply({
      type: "RunRequested",
      askId: 1,
      nodeId,
      fingerprint,
      timeoutMs: TIMEOUT_MS,
    })[0]!;
  }

  crash(nodeId: string, ...fingerprints: readonly string[]): void {
    this.apply({ type: "BackendCrashed", nodeId, fingerprints });
  }
}

describe("quarantine", () => {
  it("grants a request that is not a suspect without a lease", () => {
    const ledger = new Ledger();
    const granted = { type: "GrantRun", askId: 1, leaseId: undefined };
    expect(ledger.requestRun("n-1", INNOCENT)).to.deep.equal(granted);
  });

  it("grants a suspect to one node at a time", () => {
    const ledger = new Ledger();
    ledger.crash("n-1", GUILTY, INNOCENT);
    expect(ledger.requestRun("n-2", GUILTY).type).to.equal("GrantRun");
    for (const nodeId of ["n-2", "n-3", "n-4"]) {
      expect(ledger.requestRun(nodeId, GUILTY)).to.include({
        type: "RefuseRun",
        reason: "suspect_runs",
      });
    }
    expect(ledger.requestRun("n-3", INNOCENT).type).to.equal("GrantRun");
  });

  it("quarantines after the second crash, for longer each time", () => {
    const ledger = new Ledger();
    ledger.crash("n-1", GUILTY);
    for (const lengthMs of [QUARANTINE_MS, 2 * QUARANTINE_MS]) {
      ledger.requestRun("n-2", GUILTY);
      ledger.crash("n-2", GUILTY, "bystander");
      expect(ledger.requestRun("n-3", GUILTY)).to.include({
        reason: "quarantined",
        retryAfterMs: lengthMs,
      });
      const granted = ledger.requestRun("n-3", "bystander");
      expect(granted.type).to.equal("GrantRun");
      const { leaseId } = granted as { leaseId: number };
      const fingerprint = "bystander";
      ledger.apply({ type: "RunFinished", fingerprint, leaseId });
      ledger.nowMs += lengthMs;
    }
  });

  it("clears a suspect after a complete run, not by another lease", () => {
    const ledger = new Ledger();
    ledger.crash("n-1", INNOCENT);
    const effect = ledger.requestRun("n-2", INNOCENT);
    const leaseId = (effect as { leaseId: number }).leaseId;
    const finished = { type: "RunFinished", fingerprint: INNOCENT } as const;
    ledger.apply({ ...finished, leaseId: leaseId + 1 });
    expect(ledger.state.suspects.size).to.equal(1);
    ledger.apply({ ...finished, leaseId });
    expect(ledger.state.suspects.size).to.equal(0);
  });

  it("counts a lease that expires without a report as a crash", () => {
    const ledger = new Ledger();
    ledger.crash("n-1", GUILTY);
    ledger.requestRun("n-2", GUILTY);
    ledger.nowMs += 60_000;
    ledger.apply({ type: "Ticked" });
    expect(ledger.requestRun("n-3", GUILTY)).to.include({
      reason: "quarantined",
    });
  });

  it("loses at most two backend servers to one request", () => {
    const ids = fc.constantFrom("n-1", "n-2", "n-3", "n-4");
    const request = fc.record({
      nodeId: ids,
      isGuilty: fc.boolean(),
      isSlow: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(request, { maxLength: 60 }), (requests) => {
        const ledger = new Ledger();
        ledger.crash("n-1", GUILTY, INNOCENT);
        let crashCount = 1;
        for (const { nodeId, isGuilty, isSlow } of requests) {
          ledger.nowMs += 10;
          const fingerprint = isGuilty ? GUILTY : INNOCENT;
          const effect = ledger.requestRun(nodeId, fingerprint);
          if (effect.type !== "GrantRun" || isSlow) {
            continue;
          }
          if (isGuilty) {
            crashCount += 1;
            ledger.crash(nodeId, GUILTY);
          } else if (effect.leaseId !== undefined) {
            const { leaseId } = effect;
            ledger.apply({ type: "RunFinished", fingerprint, leaseId });
          }
        }
        const innocent = ledger.state.suspects.get(INNOCENT);
        expect(crashCount).to.be.at.most(2);
        expect(innocent?.quarantinedUntilMs ?? 0).to.equal(0);
      }),
      { seed: 8 },
    );
  });
});
