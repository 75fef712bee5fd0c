/** What is believed of a backend server after answers in any order. */
import { expect } from "chai";
import fc from "fast-check";
import {
  applyStatement,
  listNoticeChanges,
  mergeNotices,
} from "../common/backend_notice.ts";
import type { BackendNotice } from "../../mesh/common/frames.ts";
import type {
  NamedLimit,
  ReceivedStatement,
} from "../common/backend_notice.ts";

const INSTANCE = "i-1";

function nameLimit(requestsPerSecond: number): NamedLimit {
  return { type: "Named", requestsPerSecond };
}

const NO_LIMIT: NamedLimit = { type: "None" };

function receive(
  notice: BackendNotice | undefined,
  change: Partial<ReceivedStatement>,
): BackendNotice | undefined {
  return applyStatement(notice, {
    instance: INSTANCE,
    limit: NO_LIMIT,
    isLeaving: false,
    handedOverAtMs: 0,
    receivedAtMs: 0,
    ...change,
  });
}

describe("a limit that a backend server names", () => {
  it("isn't lifted by the answer to a request from before it was named", () => {
    const named = receive(undefined, {
      limit: nameLimit(5),
      handedOverAtMs: 10,
      receivedAtMs: 20,
    });
    const overtaken = receive(named, { handedOverAtMs: 15, receivedAtMs: 21 });
    expect(overtaken?.requestsPerSecond).to.equal(5);
    const lifted = receive(overtaken, { handedOverAtMs: 22, receivedAtMs: 30 });
    expect(lifted?.requestsPerSecond).to.equal(undefined);
    expect(listNoticeChanges(named, lifted)).to.deep.equal(["limit lifted"]);
  });

  it("falls at once, and rises with a request sent after it was last named", () => {
    const first = receive(undefined, {
      limit: nameLimit(5),
      receivedAtMs: 20,
    });
    const lower = receive(first, { limit: nameLimit(2), receivedAtMs: 21 });
    expect(lower?.requestsPerSecond).to.equal(2);
    const higher = { limit: nameLimit(9), receivedAtMs: 40 };
    expect(receive(lower, { ...higher, handedOverAtMs: 21 }))
      .to.deep.equal(lower);
    expect(
      receive(lower, { ...higher, handedOverAtMs: 22 })?.requestsPerSecond,
    ).to.equal(9);
  });

  it("stays when a limit can't be read", () => {
    const named = receive(undefined, { limit: nameLimit(5) });
    const limit: NamedLimit = { type: "Unreadable", text: "five" };
    expect(receive(named, { limit, handedOverAtMs: 9 })?.requestsPerSecond)
      .to.equal(5);
    expect(receive(undefined, { limit })).to.equal(undefined);
  });

  it("is, once all answers are in, the one that was named last", () => {
    const rate = fc.option(fc.integer({ min: 0, max: 9 }));
    const answers = fc.array(
      fc.record({ rate, delayMs: fc.integer({ min: 0, max: 50 }) }),
      { minLength: 1, maxLength: 12 },
    );
    fc.assert(fc.property(answers, rate, (reordered, last) => {
      const toLimit = (value: number | null) =>
        value === null ? NO_LIMIT : nameLimit(value);
      const received = reordered
        .map(({ rate, delayMs }, index) => ({
          limit: toLimit(rate),
          handedOverAtMs: index,
          receivedAtMs: index + delayMs,
        }))
        .sort((a, b) => a.receivedAtMs - b.receivedAtMs);
      const notice = received.reduce(receive, undefined);
      const settled = receive(notice, {
        limit: toLimit(last),
        handedOverAtMs: 1_000,
        receivedAtMs: 1_001,
      });
      expect(settled?.requestsPerSecond ?? null).to.equal(last);
    }));
  });
});

describe("a leave that a backend server announces", () => {
  it("is never taken back", () => {
    const leaving = receive(undefined, { isLeaving: true });
    const later = { handedOverAtMs: 9, receivedAtMs: 10 };
    expect(receive(leaving, later)?.isLeaving).to.equal(true);
    const other = receive(undefined, { limit: nameLimit(5), receivedAtMs: 9 });
    expect(mergeNotices(leaving, other!)).to.deep.include({
      isLeaving: true,
      requestsPerSecond: 5,
    });
  });
});
