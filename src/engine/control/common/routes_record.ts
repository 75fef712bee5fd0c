/** What the replicated log did to the routes of a replica, for its log lines. */
import type { CommittedCommand } from "../../consensus/common/consensus_events.ts";
import type { Snapshot } from "../../consensus/common/log_types.ts";
import type { EditEntry } from "../../link/common/cluster_messages.ts";
import type { RouteTable } from "../../routes/common/route_table.ts";
import type {
  EditOutcome,
  ReplaceRoutes,
  TableEdit,
  TableState,
} from "../../table/common/table_reducer.ts";

/** A change of the routes that an entry of the log contained. */
export interface RoutesDecided extends EditEntry {
  readonly type: "RoutesDecided";
  readonly editId: string;
  readonly baseVersion: number;
  /** The table that the change proposed. */
  readonly table: RouteTable;
  readonly outcome: EditOutcome;
}

/** Another version of the routes that came with a snapshot of the leader. */
export interface RoutesInstalled {
  readonly type: "RoutesInstalled";
  /** Last entry that the snapshot covers. */
  readonly index: number;
  readonly term: number;
  readonly table: RouteTable;
}

/** A decision of the replicated log on the routes, as applied at a replica. */
export type RoutesRecord = RoutesDecided | RoutesInstalled;

/** Creates the reference to an entry; `before` is the state before it. */
export function createEditEntry(
  before: TableState,
  { edit, entry }: {
    readonly edit: TableEdit;
    readonly entry: Pick<CommittedCommand, "index" | "term">;
  },
): EditEntry {
  const { index, term } = entry;
  const isRepeat = before.answers.get(edit.editId)?.type === "EditAccepted";
  return { index, term, isRepeat };
}

/** Creates the record of an applied edit; undefined if it has no routes. */
export function createDecisionRecord(
  after: TableState,
  { edit, applied }: {
    readonly edit: TableEdit;
    readonly applied: EditEntry;
  },
): RoutesDecided | undefined {
  const { editId, change } = edit;
  const outcome = after.answers.get(editId);
  return isReplacement(change) && outcome !== undefined
    ? {
      type: "RoutesDecided",
      ...applied,
      editId,
      baseVersion: change.baseVersion,
      table: change.document.table,
      outcome,
    }
    : undefined;
}

/** Creates the record of a snapshot; undefined if the routes are the same. */
export function createSnapshotRecord(
  { lastIndex: index, lastTerm: term }: Snapshot,
  { before, after }: {
    readonly before: TableState;
    readonly after: TableState;
  },
): RoutesInstalled | undefined {
  const { table } = after.document;
  return table.version === before.document.table.version
    ? undefined
    : { type: "RoutesInstalled", index, term, table };
}

function isReplacement(change: TableEdit["change"]): change is ReplaceRoutes {
  return change.type === "ReplaceRoutes";
}
