/** Logs and counts what a control replica decides and answers on the routes. */
import { readSteadyMs } from "../base/node/steady_clock.ts";
import { getRole } from "../engine/control/common/replication_state.ts";
import type { ReplicationState } from "../engine/control/common/replication_state.ts";
import type { RoutesRecord } from "../engine/control/common/routes_record.ts";
import type {
  EditEntry,
  EditResult,
} from "../engine/link/common/cluster_messages.ts";
import type { RelayLog } from "../engine/relay/common/relay_log.ts";
import type { RouteDocument } from "../engine/routes/common/route_table.ts";
import type {
  EditOutcome,
  ReplaceRoutes,
} from "../engine/table/common/table_reducer.ts";

/** Length of the edit ids in log lines; enough to tell edits apart. */
const LOGGED_EDIT_ID_LENGTH = 12;
/** Longest description of a fault in a log line. */
const MAX_DETAIL_LENGTH = 200;

/** Options of the log of the routes. */
export interface RoutesLogOptions {
  readonly log: RelayLog;
  readonly readState: () => ReplicationState;
  /** Counts an answered change, by outcome. */
  readonly countChange: (outcome: string) => void;
  /** Counts an answered read, by outcome. */
  readonly countRead: (outcome: string) => void;
}

/** A change of the routes with the id of its edit. */
export interface RoutesEdit {
  readonly editId: string;
  readonly change: ReplaceRoutes;
}

/** A change that was refused before it reached the replicated log. */
export interface InvalidRoutes {
  /** Undefined if the text could not be read. */
  readonly digest?: string;
  readonly sizeBytes?: number;
  /** Undefined if it can't be parsed. */
  readonly baseVersion?: number | undefined;
  /** Sentence on the fault, without values of the document. */
  readonly detail: string;
}

/** Writes one line for each decision on the routes; never their text. */
export class RoutesLog {
  readonly #options: RoutesLogOptions;

  constructor(options: RoutesLogOptions) {
    this.#options = options;
  }

  /** Requests a change, and records its answer. */
  async observeChange(
    edit: RoutesEdit,
    request: () => Promise<EditResult>,
  ): Promise<EditResult> {
    const startedAtMs = readSteadyMs();
    const result = await request();
    this.#recordAnswer(edit, result, readSteadyMs() - startedAtMs);
    return result;
  }

  /** Reads the routes, and records the answer. */
  async observeRead(
    read: () => Promise<RouteDocument | undefined>,
  ): Promise<RouteDocument | undefined> {
    const startedAtMs = readSteadyMs();
    const document = await read();
    this.#recordRead(document, readSteadyMs() - startedAtMs);
    return document;
  }

  /** Records that a change was refused as invalid. */
  recordInvalid({ detail, ...fields }: InvalidRoutes): void {
    this.#options.countChange("invalid");
    this.#write("RoutesChangeRefused", true, {
      reason: "invalid",
      detail: detail.slice(0, MAX_DETAIL_LENGTH),
      ...fields,
      current: this.#document.table.version,
    });
  }

  /** Records what an entry or a snapshot of the log did to the routes. */
  record(record: RoutesRecord): void {
    const { index, term, table } = record;
    const { version, digest } = table;
    if (record.type === "RoutesInstalled") {
      const fields = { reason: "snapshot", version, digest, index, term };
      this.#write("RoutesApplied", false, fields);
      return;
    }
    const { outcome, baseVersion, isRepeat } = record;
    const fields = {
      version,
      baseVersion,
      digest,
      edit: formatEditId(record.editId),
      index,
      term,
    };
    if (outcome.type === "EditAccepted" && !isRepeat) {
      this.#write("RoutesApplied", false, { reason: "accepted", ...fields });
      return;
    }
    const current = this.#document.table.version;
    const reason = isRepeat ? "repeated" : describeRefusal(outcome);
    this.#write("RoutesNotApplied", false, { reason, ...fields, current });
  }

  /** Records the routes that were restored from the disk at the start. */
  recordRestored(): void {
    const { version, digest } = this.#document.table;
    if (version > 0) {
      const fields = { reason: "restored", version, digest };
      this.#write("RoutesApplied", false, fields);
    }
  }

  get #document(): RouteDocument {
    return this.#options.readState().tableState.document;
  }

  #recordAnswer(
    { editId, change }: RoutesEdit,
    result: EditResult,
    elapsedMs: number,
  ): void {
    const { baseVersion, document } = change;
    const { version, digest } = document.table;
    const fields = {
      version,
      baseVersion,
      digest,
      sizeBytes: Buffer.byteLength(document.source),
      edit: formatEditId(editId),
      elapsedMs: Math.round(elapsedMs),
    };
    const { outcome, reason, current, entry } = describeResult(result);
    this.#options.countChange(outcome);
    if (reason === undefined) {
      this.#write("RoutesChangeAccepted", false, { ...fields, ...entry });
      return;
    }
    const refusal = { reason, ...fields, ...entry, current };
    this.#write("RoutesChangeRefused", true, refusal);
  }

  #recordRead(document: RouteDocument | undefined, elapsedMs: number): void {
    const { table, source } = document ?? this.#document;
    const { version, digest } = table;
    const fields = {
      version,
      digest,
      elapsedMs: Math.round(elapsedMs),
    };
    if (document !== undefined && source !== "") {
      this.#options.countRead("answered");
      const sizeBytes = Buffer.byteLength(source);
      this.#write("RoutesRead", false, { ...fields, sizeBytes });
      return;
    }
    const reason = document === undefined ? "no quorum" : "no routes";
    this.#options.countRead(reason);
    const { confirmedAtMs } = this.#options.readState().confirmation;
    const proofAgeMs = computeAgeMs(confirmedAtMs);
    this.#write("RoutesReadRefused", true, { reason, ...fields, proofAgeMs });
  }

  #write(
    event: string,
    isFailure: boolean,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const state = this.#options.readState();
    this.#options.log.write({
      event,
      isFailure,
      ...fields,
      replicaRole: getRole(state),
      currentTerm: state.consensus.term,
    });
  }
}

interface ResultDescription {
  /** Label of the counter. */
  readonly outcome: string;
  /** Undefined if the change was accepted. */
  readonly reason?: string;
  /** Version in force when a change was refused for it. */
  readonly current?: number;
  readonly entry?: EditEntry | undefined;
}

function describeResult(result: EditResult): ResultDescription {
  if (result.type === "EditRefused") {
    const reason = result.isUnknown ? "outcome unknown" : "no quorum";
    return { outcome: reason, reason };
  }
  const { outcome, entry } = result;
  switch (outcome.type) {
    case "EditAccepted":
    case "EditUnchanged":
      return { outcome: entry?.isRepeat ? "repeated" : "accepted", entry };
    case "RoutesConflicted":
    case "RoutesOutdated":
    case "EditConflicted": {
      const reason = describeRefusal(outcome);
      return {
        outcome: reason,
        reason,
        entry,
        ...("version" in outcome ? { current: outcome.version } : {}),
      };
    }
  }
}

function describeRefusal({ type }: EditOutcome): string {
  return type === "RoutesOutdated" ? "outdated" : "conflicted";
}

function formatEditId(editId: string): string {
  return editId.slice(0, LOGGED_EDIT_ID_LENGTH);
}

/** Computes the time since the start of the last confirmed round. */
function computeAgeMs(confirmedAtMs: number | undefined): number | undefined {
  return confirmedAtMs === undefined
    ? undefined
    : Math.round(readSteadyMs() - confirmedAtMs);
}
