/** The table's state in a form that can be written as JSON. */
import type { EditOutcome, TableState } from "./table_reducer.ts";

/** The state with its maps as lists. */
export interface EncodedTableState extends Omit<TableState, "answers"> {
  readonly answers: readonly (readonly [string, EditOutcome])[];
}

/** Creates the form to be written, the first answers of edit ids among it. */
export function createEncodedState(state: TableState): EncodedTableState {
  return { ...state, answers: [...state.answers] };
}

/** Reads the state back. */
export function readEncodedState(encoded: EncodedTableState): TableState {
  return { ...encoded, answers: new Map(encoded.answers) };
}
