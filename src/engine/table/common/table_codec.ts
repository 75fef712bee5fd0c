/** The table's state in a form that can be written as JSON. */
import { EMPTY_DOCUMENT } from "../../routes/common/route_table.ts";
import type { RouteDocument } from "../../routes/common/route_table.ts";
import type { EditOutcome, TableState } from "./table_reducer.ts";

/** The state with its maps as lists. */
export interface EncodedTableState
  extends Omit<TableState, "answers" | "document"> {
  readonly answers: readonly (readonly [string, EditOutcome])[];
  /** Missing in states that were written before there were routes. */
  readonly document?: RouteDocument;
}

/** Creates the form to be written, the first answers of edit ids among it. */
export function createEncodedState(state: TableState): EncodedTableState {
  return { ...state, answers: [...state.answers] };
}

/** Reads the state back. */
export function readEncodedState(encoded: EncodedTableState): TableState {
  const { document = EMPTY_DOCUMENT } = encoded;
  return { ...encoded, answers: new Map(encoded.answers), document };
}
