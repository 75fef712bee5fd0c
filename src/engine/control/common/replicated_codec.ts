/**
 * Codec of replicated commands and of snapshots; also reads the older formats.
 */
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
import type { CrashEvidence } from "../../quarantine/common/crash_evidence.ts";
import type { CrashCommand } from "../../quarantine/common/crash_messages.ts";
import type { CrashRecords } from "./crash_records.ts";
import type { HoldersState } from "./holders.ts";

/** A command in the replicated log. */
export type ReplicatedCommand =
  | { readonly type: "TableEdited"; readonly edit: TableEdit }
  | HolderCommand
  | CrashCommand;

/** The state that the commands of the log result in. */
export interface ReplicatedState {
  readonly tableState: TableState;
  /** The holder sets, by service. */
  readonly holders: HoldersState;
  /** Evidence against requests, by service. */
  readonly crashes: CrashRecords;
}

/** The state before any command. */
export const INITIAL_REPLICATED_STATE: ReplicatedState = {
  tableState: INITIAL_TABLE_STATE,
  holders: new Map(),
  crashes: new Map(),
};

/**
 * The format that is written; snapshots without a format contain the table
 * only.
 */
const FORMAT = 2;

interface EncodedState {
  readonly format: typeof FORMAT;
  readonly table: EncodedTableState;
  readonly holders: readonly (readonly [
    string,
    HoldersState extends ReadonlyMap<string, infer Sets> ? Sets : never,
  ])[];
  /** Absent in snapshots of former versions. */
  readonly crashes?: readonly (readonly [string, readonly CrashEvidence[]])[];
}

/** Encodes a command as JSON in UTF-8. */
export function encodeCommand(command: ReplicatedCommand): Uint8Array {
  return encodeJson(command);
}

/** Decodes a command; one without a type is an edit in the first format. */
export function decodeCommand(bytes: Uint8Array): ReplicatedCommand {
  const decoded = decodeJson(bytes) as ReplicatedCommand | TableEdit;
  return "type" in decoded ? decoded : { type: "TableEdited", edit: decoded };
}

/** Encodes the state as a snapshot: JSON in UTF-8. */
export function encodeReplicated(state: ReplicatedState): Uint8Array {
  const encoded: EncodedState = {
    format: FORMAT,
    table: encodeTableState(state.tableState),
    holders: [...state.holders],
    crashes: [...state.crashes].map(([service, record]) =>
      [service, [...record.values()]] as const
    ),
  };
  return encodeJson(encoded);
}

/** Decodes a snapshot; an empty one is the initial state. */
export function decodeReplicated(bytes: Uint8Array): ReplicatedState {
  if (bytes.length === 0) {
    return INITIAL_REPLICATED_STATE;
  }
  const decoded = decodeJson(bytes) as EncodedState | EncodedTableState;
  return "format" in decoded
    ? {
      tableState: decodeTableState(decoded.table),
      holders: new Map(decoded.holders),
      crashes: decodeCrashes(decoded.crashes ?? []),
    }
    : {
      ...INITIAL_REPLICATED_STATE,
      tableState: decodeTableState(decoded),
    };
}

function decodeCrashes(
  encoded: NonNullable<EncodedState["crashes"]>,
): CrashRecords {
  return new Map(
    encoded.map(([service, evidence]) => [
      service,
      new Map(evidence.map((each) => [each.fingerprint, each])),
    ]),
  );
}

function encodeJson(value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value));
}

function decodeJson(bytes: Uint8Array): object {
  return JSON.parse(new TextDecoder().decode(bytes)) as object;
}
