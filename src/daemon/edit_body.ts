/** Parses and validates the body of an edit request from an operator. */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { TableChange } from "../engine/table/common/table_reducer.ts";
import { findDuplicates } from "../engine/table/common/table_csv.ts";
import { parseRow } from "../engine/table/common/table_schema.ts";
import type { BadCell, DraftRow } from "../engine/table/common/table_schema.ts";

/** An edit as sent, without the operator and the time. */
export interface EditBody {
  readonly editId: string;
  readonly change: TableChange;
}

const CELLS = v.record(v.string(), v.string());
const VERSION = v.pipe(v.number(), v.integer(), v.minValue(0));
const EDIT_ID = v.pipe(v.string(), v.regex(/^[A-Za-z0-9._-]{1,64}$/));

const BODY = v.strictObject({
  editId: EDIT_ID,
  change: v.variant("type", [
    v.strictObject({ type: v.literal("PutRow"), cells: CELLS }),
    v.strictObject({
      type: v.literal("RemoveRow"),
      kind: v.string(),
      fromVersion: VERSION,
    }),
    v.strictObject({ type: v.literal("ReplaceRows"), rows: v.array(CELLS) }),
  ]),
});

/**
 * Parses an edit. Rows are given as cells, by column and with the same text as
 * in the CSV form of the table. An error has one line for each invalid cell.
 */
export function parseEditBody(body: unknown): Result<EditBody, string> {
  const parsed = v.safeParse(BODY, body, { abortEarly: true });
  if (!parsed.success) {
    const issue = parsed.issues[0];
    return err(`Edit is malformed: ${v.getDotPath(issue)}: ${issue.message}`);
  }
  const { editId, change } = parsed.output;
  switch (change.type) {
    case "RemoveRow":
      return ok({ editId, change });
    case "PutRow":
      return parseRow(change.cells, 0)
        .map((draft): EditBody => ({
          editId,
          change: { type: "PutRow", ...draft },
        }))
        .mapErr((badCells) => badCells.map(describeCell).join("\n"));
    case "ReplaceRows":
      return parseRows(change.rows).map((rows) => ({
        editId,
        change: { type: "ReplaceRows", rows },
      }));
  }
}

function describeCell(cell: BadCell): string {
  return `${cell.column}: ${cell.reason}`;
}

function parseRows(
  lines: readonly Readonly<Record<string, string>>[],
): Result<readonly DraftRow[], string> {
  const drafts: DraftRow[] = [];
  const reasons: string[] = [];
  const describe = (cell: BadCell) =>
    `line ${cell.line}, ${describeCell(cell)}`;
  lines.forEach((cells, index) => {
    // Line numbers of the CSV form: they begin at 1 with the header.
    parseRow(cells, index + 2).match(
      (draft) => drafts.push(draft),
      (badCells) =>
        reasons.push(
          ...badCells.map(describe),
        ),
    );
  });
  // Lines of duplicates are those of the drafts, so no other line may be bad.
  const faults = reasons.length > 0
    ? reasons
    : findDuplicates(drafts).map(describe);
  return faults.length > 0 ? err(faults.join("\n")) : ok(drafts);
}
