/** What a node makes of a replica's messages, and what it subscribes to. */
import { expect } from "chai";
import { createAnnouncement } from "../../membership/test/replicas.ts";
import { EMPTY_TABLE } from "../../table/common/table_row.ts";
import { readControlMessage } from "../common/node_inbox.ts";
import {
  findUnused,
  recordUse,
  SUBSCRIPTION_IDLE_MS,
} from "../common/subscriptions.ts";

const VIEW = {
  table: { ...EMPTY_TABLE, version: 4 },
  isServiceKnown: () => true,
};

function createChange(fromVersion: number, toVersion: number) {
  const delta = { fromVersion, toVersion, put: [], removed: [] };
  return { type: "TableChange", delta, isConfirmed: true } as const;
}

describe("a node's reading of its control replica", () => {
  it("applies a delta that fits", () => {
    const { events, reply } = readControlMessage(createChange(4, 5), VIEW);
    expect(events).to.deep.equal([{
      type: "TableReceived",
      table: { version: 5, rows: [] },
      isConfirmed: true,
    }]);
    expect(reply).to.equal(undefined);
  });

  it("fetches the table where a delta was lost", () => {
    const { events, reply } = readControlMessage(createChange(5, 6), VIEW);
    expect(events).to.deep.equal([]);
    expect(reply).to.deep.equal({ type: "TableFetch", tableVersion: 4 });
  });

  it("passes over a delta that comes twice", () => {
    const result = readControlMessage(createChange(2, 4), VIEW);
    expect(result).to.deep.equal({ events: [], reply: undefined });
  });

  it("forgets nobody whom a replica that just started leaves out", () => {
    const list = {
      type: "MemberList",
      service: "provenance",
      members: [createAnnouncement("n1")],
    } as const;
    const fresh = readControlMessage({ ...list, isComplete: false }, VIEW);
    const warm = readControlMessage({ ...list, isComplete: true }, VIEW);
    expect(fresh.events.map(({ type }) => type))
      .to.deep.equal(["MemberPublished"]);
    expect(warm.events.map(({ type }) => type))
      .to.deep.equal(["MembersListed"]);
  });
});

describe("subscriptions", () => {
  it("end after a long time without a call", () => {
    const first = recordUse(new Map(), "provenance", 0);
    const both = recordUse(first, "custody", SUBSCRIPTION_IDLE_MS);
    expect(findUnused(both, SUBSCRIPTION_IDLE_MS)).to.deep.equal([]);
    expect(findUnused(both, SUBSCRIPTION_IDLE_MS + 1)).to.deep.equal([
      "provenance",
    ]);
  });

  it("cost nothing for calls in quick succession", () => {
    const first = recordUse(new Map(), "provenance", 0);
    expect(recordUse(first, "provenance", 1_000)).to.equal(first);
  });
});
