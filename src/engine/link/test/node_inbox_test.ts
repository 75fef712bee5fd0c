/** Conversion of a replica's messages into events, and subscriptions. */
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

describe("messages of a control replica", () => {
  it("applies a delta to the node's version", () => {
    const { events, reply } = readControlMessage(createChange(4, 5), VIEW);
    expect(events).to.deep.equal([{
      type: "TableReceived",
      table: { version: 5, rows: [] },
      isConfirmed: true,
    }]);
    expect(reply).to.equal(undefined);
  });

  it("requests the table after a lost delta", () => {
    const { events, reply } = readControlMessage(createChange(5, 6), VIEW);
    expect(events).to.deep.equal([]);
    expect(reply).to.deep.equal({ type: "TableFetch", tableVersion: 4 });
  });

  it("ignores a duplicate delta", () => {
    const result = readControlMessage(createChange(2, 4), VIEW);
    expect(result).to.deep.equal({ events: [], reply: undefined });
  });

  it("removes no members by the incomplete list of a restarted replica", () => {
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
  it("expire after the idle time", () => {
    const first = recordUse(new Map(), "provenance", 0);
    const both = recordUse(first, "custody", SUBSCRIPTION_IDLE_MS);
    expect(findUnused(both, SUBSCRIPTION_IDLE_MS)).to.deep.equal([]);
    expect(findUnused(both, SUBSCRIPTION_IDLE_MS + 1)).to.deep.equal([
      "provenance",
    ]);
  });

  it("stay the same map for calls within the record interval", () => {
    const first = recordUse(new Map(), "provenance", 0);
    expect(recordUse(first, "provenance", 1_000)).to.equal(first);
  });
});
