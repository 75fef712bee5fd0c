/** A delta converts one version into another, and applies to no other version. */
import { expect } from "chai";
import fc from "fast-check";
import { applyTableDelta, createTableDelta } from "../common/table_delta.ts";
import { applyEdit, INITIAL_TABLE_STATE } from "../common/table_reducer.ts";
import type { TableChange, TableState } from "../common/table_reducer.ts";
import type { Table, TableRow } from "../common/table_row.ts";

const KINDS = ["a", "b", "c", "d", "e", "f"];

function createRow(kind: string, weight: number): TableRow {
  return {
    kind,
    service: "provenance",
    method: "GET",
    path: `/${kind}`,
    weight,
    importance: 5,
    concurrency: 10,
    rate: 100,
    queue: 10,
    timeoutMs: 1_000,
    retries: 1,
    idempotent: true,
    key: "none",
    maxBodyBytes: 1_000,
  };
}

const ROW = fc.record({
  kind: fc.constantFrom(...KINDS),
  weight: fc.integer({ min: 1, max: 3 }),
});
const STEP = fc.oneof(
  fc.record({ type: fc.constant("put" as const), row: ROW }),
  fc.record({
    type: fc.constant("remove" as const),
    kind: fc.constantFrom(...KINDS),
  }),
  fc.record({
    type: fc.constant("replace" as const),
    rows: fc.uniqueArray(ROW, { selector: (row) => row.kind, maxLength: 6 }),
  }),
);
type Step = typeof STEP extends fc.Arbitrary<infer T> ? T : never;

function createChange(state: TableState, step: Step): TableChange {
  const find = (kind: string) =>
    state.table.rows.find((row) => row.kind === kind)?.version ?? 0;
  const draft = ({ kind, weight }: { kind: string; weight: number }) => ({
    row: createRow(kind, weight),
    fromVersion: find(kind),
  });
  switch (step.type) {
    case "put":
      return { type: "PutRow", ...draft(step.row) };
    case "remove":
      return {
        type: "RemoveRow",
        kind: step.kind,
        fromVersion: find(step.kind),
      };
    case "replace":
      return { type: "ReplaceRows", rows: step.rows.map(draft) };
  }
}

function runSteps(steps: readonly Step[]): readonly Table[] {
  let state = INITIAL_TABLE_STATE;
  const tables = [state.table];
  steps.forEach((step, index) => {
    const change = createChange(state, step);
    const edit = { editId: `${index}`, operator: "o", atMs: index, change };
    state = applyEdit(state, edit).state;
    tables.push(state.table);
  });
  return tables;
}

describe("table delta", () => {
  it("equals the table after any edits, from every earlier version", () => {
    let pairCount = 0;
    fc.assert(
      fc.property(fc.array(STEP, { maxLength: 25 }), (steps) => {
        const tables = runSteps(steps);
        const last = tables.at(-1)!;
        for (const from of tables) {
          const delta = createTableDelta(from, last);
          expect(applyTableDelta(from, delta)).to.deep.equal(last);
          pairCount += 1;
        }
      }),
      { numRuns: 300, seed: 5 },
    );
    expect(pairCount).to.be.greaterThan(1_000);
  });

  it("holds only the row that one edit changed", () => {
    const steps = KINDS.map((kind) =>
      ({ type: "put", row: { kind, weight: 1 } }) as const
    );
    const last = { type: "put", row: { kind: "c", weight: 2 } } as const;
    const tables = runSteps([...steps, last]);
    const delta = createTableDelta(tables.at(-2)!, tables.at(-1)!);
    expect(delta.put.map((row) => row.kind)).to.deep.equal(["c"]);
    expect(delta.removed).to.deep.equal([]);
  });

  it("doesn't apply to another version", () => {
    const put = (kind: string): Step => ({
      type: "put",
      row: { kind, weight: 1 },
    });
    const [t0, t1, t2] = runSteps([put("a"), put("b")]);
    const delta = createTableDelta(t1!, t2!);
    expect(applyTableDelta(t0!, delta)).to.equal(undefined);
    expect(applyTableDelta(t2!, delta)).to.equal(undefined);
  });
});
