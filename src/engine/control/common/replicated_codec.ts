/** The replicated commands and their state as bytes, with older formats. */
import type { HolderCommand } from "../../claims/common/holder_set_reducer.ts";
import {
  decodeTableState,
  encodeTableState,
} from "../../table/common/table_codec.ts";
import type { EncodedTableState } from "../../table/common/table_codec.ts";
import { INITIAL_TABLE_STATE } from "../../table/common/table_reducer.ts";
import type {
  TableEdit,
  TableState,
} from "../../table/common/table_reducer.ts";
import type { HoldersState } from "./holders.ts";

/** What the log carries. */
export type ReplicatedCommand =
  | { readonly type: "TableEdited"; readonly edit: TableEdit }
  | HolderCommand;

/** What the log's commands make. */
export interface ReplicatedState {
  readonly tableState: TableState;
  /** The nodes that keep claims, by service. */
  readonly holders: HoldersState;
}

/** The state before any command. */
export const INITIAL_REPLICATED_STATE: ReplicatedState = {
  tableState: INITIAL_TABLE_STATE,
  holders: new Map(),
};

/** The format that is written; one without a number is the table alone. */
const FORMAT = 2;

interface EncodedState {
  readonly format: typeof FORMAT;
  readonly table: EncodedTableState;
  readonly holders: readonly (readonly [
    string,
    HoldersState extends ReadonlyMap<string, infer Sets> ? Sets : never,
  ])[];
}

/** Encodes a command as JSON in UTF-8. */
export function encodeCommand(command: ReplicatedCommand): Uint8Array {
  return encodeJson(command);
}

/** Decodes a command; one without a type is an edit of the first format. */
export function decodeCommand(bytes: Uint8Array): ReplicatedCommand {
  const decoded = decodeJson(bytes) as ReplicatedCommand | TableEdit;
  return "type" in decoded ? decoded : { type: "TableEdited", edit: decoded };
}

/** Encodes the whole state for a snapshot. */
export function encodeReplicated(state: ReplicatedState): Uint8Array {
  const encoded: EncodedState = {
    format: FORMAT,
    table: encodeTableState(state.tableState),
    holders: [...state.holders],
  };
  return encodeJson(encoded);
}

/** Decodes a snapshot; no bytes are the state before any command. */
export function decodeReplicated(bytes: Uint8Array): ReplicatedState {
  if (bytes.length === 0) {
    return INITIAL_REPLICATED_STATE;
  }
  const decoded = decodeJson(bytes) as EncodedState | EncodedTableState;
  return "format" in decoded
    ? {
      tableState: decodeTableState(decoded.table),
      holders: new Map(decoded.holders),
    }
    : { tableState: decodeTableState(decoded), holders: new Map() };
}

function encodeJson(value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value));
}

function decodeJson(bytes: Uint8Array): object {
  return JSON.parse(new TextDecoder().decode(bytes)) as object;
}
