/** Conversion of the table's state to and from a serializable form. */
import { EMPTY_DOCUMENT } from "../../routes/common/route_table.ts";
import type { RouteDocument } from "../../routes/common/route_table.ts";
import type { EditOutcome, TableState } from "./table_reducer.ts";

/** The state with its maps as arrays. */
export interface EncodedTableState
  extends Omit<TableState, "answers" | "document"> {
  readonly answers: readonly (readonly [string, EditOutcome])[];
  /** Absent in stored states of versions without routes. */
  readonly document?: RouteDocument;
}

/** Encodes the state, including the first answers by edit id. */
export function encodeTableState(state: TableState): EncodedTableState {
  return { ...state, answers: [...state.answers] };
}

/** Decodes the state; the reverse of `encodeTableState`. */
export function decodeTableState(encoded: EncodedTableState): TableState {
  const { document = EMPTY_DOCUMENT } = encoded;
  return { ...encoded, answers: new Map(encoded.answers), document };
}
