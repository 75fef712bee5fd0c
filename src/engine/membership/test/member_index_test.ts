/** Compares the index of members by service with a scan of all members. */
import { expect } from "chai";
import fc from "fast-check";
import { reduceMembership } from "../common/membership_reducer.ts";
import type { MembershipEvent } from "../common/membership_reducer.ts";
import {
  createMembership,
  LEASE_MS,
  listMembers,
} from "../common/membership_state.ts";
import type { MembershipState } from "../common/membership_state.ts";
import { createAnnouncement } from "./replicas.ts";

const SERVICES = ["custody", "provenance", "weighing"];
const OWNERS = ["b@1", "c@1"];
const STEP_MS = 500;

const presence = fc.record({
  nodeId: fc.constantFrom("n1", "n2", "n3", "n4"),
  service: fc.constantFrom(...SERVICES),
  incarnation: fc.integer({ min: 1, max: 3 }),
  linkNumber: fc.integer({ min: 1, max: 3 }),
}).map(({ nodeId, service, incarnation, linkNumber }) => ({
  announcement: { ...createAnnouncement(nodeId), service, incarnation },
  linkNumber,
}));

const linkEvent = fc.oneof(
  presence.map((one): MembershipEvent => ({
    type: "NodeAnnounced",
    ...one,
    tableVersion: 1,
  })),
  fc.constantFrom("n1", "n2", "n3", "n4").map((nodeId): MembershipEvent => ({
    type: "NodeLeft",
    nodeId,
  })),
);

/** A list of another replica's nodes, which replaces all earlier ones. */
const listEvent = fc.record({
  owner: fc.constantFrom(...OWNERS),
  sequence: fc.integer({ min: 1, max: 9 }),
  nodes: fc.array(presence, { maxLength: 4 }),
}).map((list): MembershipEvent => ({
  type: "PresenceReceived",
  channel: { type: "Dialled", replica: "b" },
  message: { type: "PresenceList", ...list },
}));

const tickEvent = fc.constant<MembershipEvent>({
  type: "Ticked",
  tableVersion: 1,
});

function expectIndexed(state: MembershipState): void {
  const members = [...state.members.values()].map((one) => one.announcement);
  for (const service of SERVICES) {
    const scanned = members.filter((one) => one.service === service);
    expect(listMembers(state, service)).to.have.deep.members(scanned);
  }
  const services = new Set(members.map((one) => one.service));
  expect([...state.index.keys()]).to.have.members([...services]);
}

describe("members by service", () => {
  it("are those of a scan after any events", () => {
    const anyEvent = fc.oneof(linkEvent, listEvent, tickEvent);
    let movedCount = 0;
    fc.assert(
      fc.property(fc.array(anyEvent, { maxLength: 30 }), (events) => {
        let nowMs = 0;
        let state = createMembership("a", nowMs);
        for (const event of events) {
          nowMs += STEP_MS;
          const before = state.members;
          state = reduceMembership(state, event, nowMs).state;
          movedCount += [...state.members].filter(([id, { announcement }]) => {
            const old = before.get(id)?.announcement.service;
            return old !== undefined && old !== announcement.service;
          }).length;
          expectIndexed(state);
        }
      }),
    );
    expect(movedCount, "changes of service").to.be.greaterThan(0);
  });

  it("leave the earlier state as it was", () => {
    const announce = (state: MembershipState, nodeId: string) =>
      reduceMembership(state, {
        type: "NodeAnnounced",
        announcement: createAnnouncement(nodeId),
        linkNumber: 1,
        tableVersion: 1,
      }, 0).state;
    const one = announce(createMembership("a", 0), "n1");
    const two = announce(one, "n2");
    const none =
      reduceMembership(two, { type: "Ticked", tableVersion: 1 }, 2 * LEASE_MS)
        .state;
    expect(listMembers(one, "provenance")).to.have.length(1);
    expect(listMembers(two, "provenance")).to.have.length(2);
    expectIndexed(none);
  });
});
