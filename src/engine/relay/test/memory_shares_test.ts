/**
 * Limits on what a process holds. Guards against limits that are each sound, and
 * together more than the process has.
 */
import { expect } from "chai";
import {
  computeMemoryShares,
  RESERVED_BYTES,
} from "../common/memory_shares.ts";

const MB = 1_048_576;

describe("the limits on held bytes", () => {
  for (const memoryMb of [160, 250, 346, 350, 1_024, 4_096]) {
    it(`fit into a process of ${memoryMb} MB together`, () => {
      const shares = Object.values(computeMemoryShares(memoryMb * MB));
      const sum = shares.reduce((total, share) => total + share, 0);
      expect(RESERVED_BYTES + sum).to.be.at.most(memoryMb * MB);
      expect(Math.min(...shares)).to.be.above(500_000);
    });
  }
});
