/** The table's commands and its state as bytes, for the replicated log. */
import { INITIAL_TABLE_STATE } from "./table_reducer.ts";
import type { EditOutcome, TableEdit, TableState } from "./table_reducer.ts";

interface EncodedState extends Omit<TableState, "answers"> {
  readonly answers: readonly (readonly [string, EditOutcome])[];
}

/** Encodes an edit as JSON in UTF-8. */
export function encodeEdit(edit: TableEdit): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(edit));
}

/** Decodes an edit; only for bytes encoded here. */
export function decodeEdit(bytes: Uint8Array): TableEdit {
  return JSON.parse(new TextDecoder().decode(bytes)) as TableEdit;
}

/** Encodes the whole state, the first answers of edit ids among it. */
export function encodeTableState(state: TableState): Uint8Array {
  const encoded: EncodedState = { ...state, answers: [...state.answers] };
  return new TextEncoder().encode(JSON.stringify(encoded));
}

/** Decodes the state; no bytes are the state before any edit. */
export function decodeTableState(bytes: Uint8Array): TableState {
  if (bytes.length === 0) {
    return INITIAL_TABLE_STATE;
  }
  const text = new TextDecoder().decode(bytes);
  const { answers, ...rest } = JSON.parse(text) as EncodedState;
  return { ...rest, answers: new Map(answers) };
}
