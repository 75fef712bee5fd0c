/** Compare-and-set edits of the table. */
import { expect } from "chai";
import fc from "fast-check";
import {
  applyEdit,
  INITIAL_TABLE_STATE,
  MAX_ANSWERS,
} from "../common/table_reducer.ts";
import type {
  EditOutcome,
  TableChange,
  TableState,
} from "../common/table_reducer.ts";
import { createRow } from "./table_rows.ts";

interface EditResult {
  readonly state: TableState;
  readonly outcome: EditOutcome;
}

function edit(
  state: TableState,
  editId: string,
  change: TableChange,
): EditResult {
  return applyEdit(state, { editId, operator: editId, atMs: 0, change });
}

function putRow(kind: string, fromVersion: number, weight = 1): TableChange {
  const row = createRow({ kind, weight, path: `/${kind}` });
  return { type: "PutRow", row, fromVersion };
}

describe("table reducer", () => {
  const first = edit(INITIAL_TABLE_STATE, "a", putRow("one", 0));

  it("accepts exactly one of two edits made from one version", () => {
    const left = edit(first.state, "b", putRow("one", 1, 2));
    const right = edit(left.state, "c", putRow("one", 1, 3));
    expect(left.outcome).to.deep.equal({ type: "EditAccepted", version: 2 });
    expect(right.outcome).to.deep.include({ type: "EditConflicted" });
    const conflict = right.outcome.type === "EditConflicted"
      ? right.outcome.conflicts[0]
      : undefined;
    expect(conflict?.wonBy).to.equal("b");
    expect(conflict?.current?.weight).to.equal(2);
    expect(right.state.table).to.equal(left.state.table);
  });

  it("gives a resent edit its first answer and changes nothing", () => {
    const won = edit(first.state, "b", putRow("one", 1, 2));
    const lost = edit(won.state, "c", putRow("one", 1, 3));
    const later = edit(lost.state, "d", putRow("one", 2, 4));
    expect(edit(later.state, "b", putRow("one", 1, 2))).to.deep.equal({
      state: later.state,
      outcome: won.outcome,
    });
    expect(edit(later.state, "c", putRow("one", 1, 3)).outcome)
      .to.equal(lost.outcome);
  });

  it("replaces all rows in one edit, or none", () => {
    const second = edit(first.state, "b", putRow("two", 0));
    const rows = [
      {
        row: createRow({ kind: "one", path: "/one", weight: 9 }),
        fromVersion: 1,
      },
      {
        row: createRow({ kind: "two", path: "/two", weight: 9 }),
        fromVersion: 1,
      },
    ];
    const refused = edit(second.state, "c", { type: "ReplaceRows", rows });
    expect(refused.outcome.type).to.equal("EditConflicted");
    expect(refused.state.table).to.equal(second.state.table);
  });

  it("removes rows that the file has seen, and only those", () => {
    const second = edit(first.state, "b", putRow("two", 0));
    const seen = [{
      row: createRow({ kind: "two", path: "/two" }),
      fromVersion: 2,
    }];
    const removed = edit(second.state, "c", {
      type: "ReplaceRows",
      rows: seen,
    });
    expect(removed.state.table.rows.map((row) => row.kind))
      .to.deep.equal(["two"]);
    const unseen = [{
      row: createRow({ kind: "one", path: "/one" }),
      fromVersion: 1,
    }];
    const refused = edit(second.state, "d", {
      type: "ReplaceRows",
      rows: unseen,
    });
    expect(refused.outcome.type).to.equal("EditConflicted");
  });

  it("keeps a bounded number of answers, the newest ones", () => {
    let state = first.state;
    for (let i = 0; i < MAX_ANSWERS + 5; i += 1_000) {
      state = edit(state, `e${i}`, putRow("one", 99)).state;
    }
    expect(state.answers.size).to.be.at.most(MAX_ANSWERS);
    expect(state.answers.has("a")).to.equal(true);
  });

  it("grows its version by one with every accepted edit and loses none", () => {
    const anEdit = fc.record({
      kind: fc.constantFrom("one", "two", "three"),
      from: fc.nat(6),
      isRemoval: fc.boolean(),
      weight: fc.integer({ min: 1, max: 5 }),
    });
    fc.assert(
      fc.property(fc.array(anEdit, { maxLength: 30 }), (edits) => {
        let state = INITIAL_TABLE_STATE;
        edits.forEach(({ kind, from, isRemoval, weight }, i) => {
          const change: TableChange = isRemoval
            ? { type: "RemoveRow", kind, fromVersion: from }
            : putRow(kind, from, weight);
          const next = edit(state, `e${i}`, change);
          const isNew = next.outcome.type === "EditAccepted";
          expect(next.state.table.version)
            .to.equal(state.table.version + (isNew ? 1 : 0));
          state = next.state;
        });
        expect(state.history.length).to.equal(state.table.version);
      }),
      { seed: 7, numRuns: 500 },
    );
  });
});
