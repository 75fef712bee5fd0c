/** The bounded record never reports an attempt as not run that may have run. */
import { expect } from "chai";
import {
  ASK_TIMEOUT_MS,
  BLOCK_SIZE,
  FENCE_HELD_MS,
  fenceSettled,
  findSettled,
  MAX_BLOCKS,
  MAX_FENCES,
  NO_SETTLED,
  rememberSettled,
} from "../common/settled_attempts.ts";
import type { SettledAttempts } from "../common/settled_attempts.ts";

const CAPACITY = BLOCK_SIZE * (MAX_BLOCKS + 1);

/** Records `count` ended attempts, one per millisecond from `fromMs`. */
function fill(count: number, fromMs: number): SettledAttempts {
  let settled = NO_SETTLED;
  for (let i = 0; i < count; i++) {
    const attempt = { attemptId: `a${i}`, as: "ended" } as const;
    settled = rememberSettled(settled, attempt, fromMs + i);
  }
  return settled;
}

describe("settled attempts", () => {
  it("fences no attempt that it may have forgotten", () => {
    const nowMs = 100_000 + 2 * CAPACITY;
    const settled = fill(2 * CAPACITY, 100_000);
    expect(findSettled(settled, "a0")).to.equal(undefined);
    const ageMs = nowMs - 100_000;
    expect(fenceSettled(settled, { attemptId: "a0", ageMs }, nowMs))
      .to.equal(undefined);
    // The query itself may have taken up to `ASK_TIMEOUT_MS`.
    const uncertainAgeMs = nowMs - settled.forgottenMs - ASK_TIMEOUT_MS;
    expect(
      fenceSettled(settled, { attemptId: "b", ageMs: uncertainAgeMs }, nowMs),
    )
      .to.equal(undefined);
    const recent = { attemptId: "b", ageMs: uncertainAgeMs - 1 };
    const fenced = fenceSettled(settled, recent, nowMs)!;
    expect(findSettled(fenced, "b")).to.equal("fenced");
  });

  it("retains the latest attempts within its bound", () => {
    const settled = fill(3 * CAPACITY, 0);
    const retained = settled.open.attempts.size +
      settled.closed.reduce((sum, block) => sum + block.attempts.size, 0);
    expect(retained).to.be.within(CAPACITY - BLOCK_SIZE, CAPACITY);
    const newest = `a${3 * CAPACITY - 1}`;
    expect(findSettled(settled, newest)).to.equal("ended");
  });

  it("refuses to fence rather than expire a fence early", () => {
    const ids = Array.from({ length: MAX_FENCES }, (_, i) => `f${i}`);
    const fences = new Map(ids.map((id) => [id, 10_000]));
    const settled: SettledAttempts = { ...NO_SETTLED, fences };
    const more = { attemptId: "more", ageMs: 0 };
    expect(fenceSettled(settled, more, 10_000 + FENCE_HELD_MS))
      .to.equal(undefined);
    expect(findSettled(settled, "f0")).to.equal("fenced");
    const later = fenceSettled(settled, more, 10_001 + FENCE_HELD_MS)!;
    expect(later.fences.size).to.equal(1);
  });
});
