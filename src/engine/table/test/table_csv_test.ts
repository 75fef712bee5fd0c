/** The table as CSV: round trips, and the report of each invalid cell. */
import { readFileSync } from "node:fs";
import { expect } from "chai";
import { Snapshots } from "../../../base/test/snapshot.ts";
import { formatTableCsv, parseTableCsv } from "../common/table_csv.ts";
import { selectRow } from "../common/table_match.ts";
import type { Table } from "../common/table_row.ts";

const snapshots = new Snapshots(import.meta.url);
const FILE = "examples/toy-trust/table.csv";
const TEXT = readFileSync(FILE, "utf8");

function readTable(text: string): Table {
  const drafts = parseTableCsv(text)._unsafeUnwrap();
  const rows = drafts.map(({ row }) => ({ ...row, version: 3 }));
  return { version: 3, rows };
}

describe("table CSV", () => {
  it("is unchanged by a round trip", () => {
    const table = readTable(TEXT);
    expect(readTable(formatTableCsv(table))).to.deep.equal(table);
  });

  const badFiles: Readonly<Record<string, string>> = {
    "duplicated kind":
      `${TEXT}refund,tillside,GET,/x,1,1,1,1,1,1,1,yes,none,0,\n`,
    "duplicated route":
      `${TEXT}again,tillside,POST,/refunds,1,1,1,1,1,1,1,yes,none,0,\n`,
    "negative and absurd limits": TEXT.replace(
      "4,4,55,3000,100",
      "-4,44,1.5,0,1e9",
    ),
    "unknown column": TEXT.replace("queue", "quue"),
    "missing column": TEXT.replace(",retries", ""),
    "short line": `${TEXT}lost,catalog\n`,
    "open quote": `${TEXT}"lost,catalog\n`,
    "bad words": TEXT.replace("no,required", "maybe,perhaps"),
    "no header": "",
  };
  for (const [name, text] of Object.entries(badFiles)) {
    it(`refuses a file with ${name}`, () => {
      const bad = parseTableCsv(text)._unsafeUnwrapErr();
      snapshots.match(name, bad);
    });
  }

  it("selects the most specific row", () => {
    const table = readTable(TEXT);
    const kindOf = (method: string, path: string) =>
      selectRow(table, { method, path })?.kind;
    expect(kindOf("GET", "/prices/4")).to.equal("price-lookup");
    expect(kindOf("GET", "/stock/hall-a/4")).to.equal("stock-lookup");
    expect(kindOf("POST", "/refunds")).to.equal("refund");
    expect(kindOf("GET", "/refunds")).to.equal("other");
    expect(kindOf("POST", "/batches/7/photos")).to.equal("photo-batch");
  });
});
