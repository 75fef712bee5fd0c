/** Replicated state machine of the table, with compare-and-set edits. */
import { EMPTY_DOCUMENT } from "../../routes/common/route_table.ts";
import type { RouteDocument } from "../../routes/common/route_table.ts";
import { isSameRow } from "./table_row.ts";
import { EMPTY_TABLE } from "./table_row.ts";
import type { Table, TableRow, VersionedRow } from "./table_row.ts";
import type { DraftRow } from "./table_schema.ts";

/** Puts one row; `fromVersion` is the version the operator saw (0: no such row). */
export interface PutRow extends DraftRow {
  readonly type: "PutRow";
}

/** Removes one row. */
export interface RemoveRow {
  readonly type: "RemoveRow";
  readonly kind: string;
  readonly fromVersion: number;
}

/** Replaces all rows; rows of kinds that are not listed are removed. */
export interface ReplaceRows {
  readonly type: "ReplaceRows";
  readonly rows: readonly DraftRow[];
}

/** Replaces all routes; `baseVersion` is the version that the operator saw. */
export interface ReplaceRoutes {
  readonly type: "ReplaceRoutes";
  readonly baseVersion: number;
  readonly document: RouteDocument;
}

/** The change that an edit requests. */
export type TableChange = PutRow | RemoveRow | ReplaceRows | ReplaceRoutes;

type RowChange = Exclude<TableChange, ReplaceRoutes>;

/** One edit, as replicated. */
export interface TableEdit {
  /** Chosen by the client; the same in each resend of the edit. */
  readonly editId: string;
  readonly operator: string;
  /** Wall clock of the replica that received the edit, in milliseconds. */
  readonly atMs: number;
  readonly change: TableChange;
}

/** A row that had changed since the version that the edit was based on. */
export interface RowConflict {
  readonly kind: string;
  readonly fromVersion: number;
  /** The current row; undefined if it was removed. */
  readonly current: VersionedRow | undefined;
  /** Operator of the latest edit of the row; "unknown" if not in the history. */
  readonly wonBy: string;
}

/**
 * The answer to an edit. A resend gets the same answer, except that refused
 * routes are checked again.
 */
export type EditOutcome =
  | { readonly type: "EditAccepted"; readonly version: number }
  | { readonly type: "EditUnchanged"; readonly version: number }
  | {
    readonly type: "EditConflicted";
    readonly conflicts: readonly RowConflict[];
  }
  /** The routes were replaced meanwhile; `version` is the current one. */
  | { readonly type: "RoutesConflicted"; readonly version: number }
  /** The new routes' version is not above `version`, the current one. */
  | { readonly type: "RoutesOutdated"; readonly version: number };

/** One accepted edit in the history. */
export interface HistoryEntry {
  readonly version: number;
  readonly editId: string;
  readonly operator: string;
  readonly atMs: number;
  readonly put: readonly string[];
  readonly removed: readonly string[];
}

/** The whole replicated state of the table. */
export interface TableState {
  readonly table: Table;
  /** Oldest first, at most `MAX_HISTORY`. */
  readonly history: readonly HistoryEntry[];
  /** First answers by edit id, oldest first, at most `MAX_ANSWERS`. */
  readonly answers: ReadonlyMap<string, EditOutcome>;
  /** The routes in force, and the text that they were parsed from. */
  readonly document: RouteDocument;
}

/** Maximum number of accepted edits in the history. */
export const MAX_HISTORY = 2_000;
/** Maximum number of edit ids whose first answer is retained for resends. */
export const MAX_ANSWERS = 20_000;

/** The state before any edit. */
export const INITIAL_TABLE_STATE: TableState = {
  table: EMPTY_TABLE,
  history: [],
  answers: new Map(),
  document: EMPTY_DOCUMENT,
};

/** The effects of a change on the rows; applied only without conflicts. */
interface EditPlan {
  readonly put: readonly TableRow[];
  readonly removed: readonly string[];
  readonly conflicts: readonly RowConflict[];
}

/** Applies one edit; a resent edit gets its first answer and changes nothing. */
export function applyEdit(
  state: TableState,
  edit: TableEdit,
): { readonly state: TableState; readonly outcome: EditOutcome } {
  const firstOutcome = state.answers.get(edit.editId);
  const { change } = edit;
  if (
    change.type === "ReplaceRoutes" && firstOutcome?.type !== "EditAccepted"
  ) {
    return replaceRoutes(state, edit.editId, change);
  }
  if (firstOutcome !== undefined || change.type === "ReplaceRoutes") {
    return { state, outcome: firstOutcome! };
  }
  const plan = createPlan(state, change);
  const outcome = decideOutcome(state, plan);
  const answers = recordAnswer(state.answers, edit.editId, outcome);
  if (outcome.type !== "EditAccepted") {
    return { state: { ...state, answers }, outcome };
  }
  const table = applyPlan(state.table, plan, outcome.version);
  const entry: HistoryEntry = {
    version: outcome.version,
    editId: edit.editId,
    operator: edit.operator,
    atMs: edit.atMs,
    put: plan.put.map((row) => row.kind),
    removed: plan.removed,
  };
  const history = [...state.history, entry].slice(-MAX_HISTORY);
  return { state: { ...state, table, history, answers }, outcome };
}

/** Replaces the routes; a refused replacement is checked again when resent. */
function replaceRoutes(
  state: TableState,
  editId: string,
  change: ReplaceRoutes,
): { readonly state: TableState; readonly outcome: EditOutcome } {
  const outcome = decideReplacement(state, change);
  const answers = recordAnswer(state.answers, editId, outcome);
  const document = outcome.type === "EditAccepted"
    ? change.document
    : state.document;
  return { state: { ...state, document, answers }, outcome };
}

function decideReplacement(
  state: TableState,
  { baseVersion, document }: ReplaceRoutes,
): EditOutcome {
  const { version: current } = state.document.table;
  if (baseVersion !== current) {
    return { type: "RoutesConflicted", version: current };
  }
  const { version } = document.table;
  return version <= current
    ? { type: "RoutesOutdated", version: current }
    : { type: "EditAccepted", version };
}

function createPlan(state: TableState, change: RowChange): EditPlan {
  switch (change.type) {
    case "PutRow":
      return mergePlans([planPut(state, change)]);
    case "RemoveRow":
      return mergePlans([planRemove(state, change.kind, change.fromVersion)]);
    case "ReplaceRows":
      return planReplace(state, change.rows);
  }
}

function planPut(state: TableState, draft: DraftRow): EditPlan {
  const { row, fromVersion } = draft;
  const current = findRow(state.table, row.kind);
  if (current !== undefined && isSameRow(current, row)) {
    return { put: [], removed: [], conflicts: [] };
  }
  if ((current?.version ?? 0) !== fromVersion) {
    const conflict = createConflict(state, row.kind, fromVersion);
    return { put: [], removed: [], conflicts: [conflict] };
  }
  return { put: [row], removed: [], conflicts: [] };
}

function planRemove(
  state: TableState,
  kind: string,
  fromVersion: number,
): EditPlan {
  const current = findRow(state.table, kind);
  if (current?.version !== fromVersion) {
    const conflict = createConflict(state, kind, fromVersion);
    return { put: [], removed: [], conflicts: [conflict] };
  }
  return { put: [], removed: [kind], conflicts: [] };
}

/**
 * Plans the replacement of all rows. An absent row is removed if it is no newer
 * than the newest row in the file, as the operator may have deleted it; a newer
 * one is a conflict.
 */
function planReplace(state: TableState, drafts: readonly DraftRow[]): EditPlan {
  const newestSeenVersion = drafts.reduce(
    (max, d) => Math.max(max, d.fromVersion),
    0,
  );
  const kinds = new Set(drafts.map((draft) => draft.row.kind));
  const plans = drafts.map((draft) => planPut(state, draft));
  for (const row of state.table.rows) {
    if (!kinds.has(row.kind)) {
      const fromVersion = row.version <= newestSeenVersion
        ? row.version
        : newestSeenVersion;
      plans.push(planRemove(state, row.kind, fromVersion));
    }
  }
  return mergePlans(plans);
}

function mergePlans(plans: readonly EditPlan[]): EditPlan {
  return {
    put: plans.flatMap((plan) => plan.put),
    removed: plans.flatMap((plan) => plan.removed),
    conflicts: plans.flatMap((plan) => plan.conflicts),
  };
}

function decideOutcome(state: TableState, plan: EditPlan): EditOutcome {
  const { version } = state.table;
  if (plan.conflicts.length > 0) {
    return { type: "EditConflicted", conflicts: plan.conflicts };
  }
  if (plan.put.length === 0 && plan.removed.length === 0) {
    return { type: "EditUnchanged", version };
  }
  return { type: "EditAccepted", version: version + 1 };
}

function applyPlan(table: Table, plan: EditPlan, version: number): Table {
  const put = new Map(plan.put.map((row) => [row.kind, row]));
  const removed = new Set(plan.removed);
  const rows: VersionedRow[] = [];
  for (const row of table.rows) {
    const next = put.get(row.kind);
    put.delete(row.kind);
    if (next !== undefined) {
      rows.push({ ...next, version });
    } else if (!removed.has(row.kind)) {
      rows.push(row);
    }
  }
  for (const row of put.values()) {
    rows.push({ ...row, version });
  }
  return { version, rows };
}

function recordAnswer(
  answers: ReadonlyMap<string, EditOutcome>,
  editId: string,
  outcome: EditOutcome,
): ReadonlyMap<string, EditOutcome> {
  const next = new Map(answers);
  next.set(editId, outcome);
  for (const oldest of next.keys()) {
    if (next.size <= MAX_ANSWERS) {
      break;
    }
    next.delete(oldest);
  }
  return next;
}

function createConflict(
  state: TableState,
  kind: string,
  fromVersion: number,
): RowConflict {
  const winner = state.history.findLast((entry) =>
    entry.put.includes(kind) || entry.removed.includes(kind)
  );
  return {
    kind,
    fromVersion,
    current: findRow(state.table, kind),
    wonBy: winner?.operator ?? "unknown",
  };
}

function findRow(table: Table, kind: string): VersionedRow | undefined {
  return table.rows.find((row) => row.kind === kind);
}
