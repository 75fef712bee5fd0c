/** Requests of operators that wait for the replicated state. */
import type { EditResult } from "../engine/link/common/cluster_messages.ts";
import type {
  ReplaceRoutes,
  TableEdit,
} from "../engine/table/common/table_reducer.ts";
import { encodeCommand } from "../engine/control/common/replicated_codec.ts";
import { MAX_EDIT_BYTES } from "../engine/control/common/replication_state.ts";
import type { ReplicationEvent } from "../engine/control/common/replication_state.ts";
import { parseEditBody } from "./edit_body.ts";
import type { OperatorAnswer, OperatorRequest } from "./operator_server.ts";

const EDIT_NOT_ACCEPTED = "No quorum of the control replicas is in reach: " +
  "the edit was not accepted";
const EDIT_OUTCOME_UNKNOWN =
  "No quorum confirmed the edit in time: it is not accepted " +
  "yet, but may be; send it again with the same edit id to find out";
const TABLE_NOT_CONFIRMED = "No quorum of the control replicas is in reach: " +
  "this replica can't tell whether its table is current";

/**
 * Matches pending requests with the effects that answer them, by request id.
 */
export class ControlRequests {
  readonly #dispatch: (event: ReplicationEvent) => void;
  readonly #edits = new Map<number, (result: EditResult) => void>();
  readonly #reads = new Map<number, (isCurrent: boolean) => void>();
  #nextRequestId = 1;

  constructor(dispatch: (event: ReplicationEvent) => void) {
    this.#dispatch = dispatch;
  }

  /** Handles an edit; answers when it is committed or refused. */
  handleEdit(request: OperatorRequest): Promise<OperatorAnswer> {
    return parseEditBody(request.body).match(
      async ({ editId, change }) => {
        const { operator } = request;
        const edit = { editId, operator, atMs: Date.now(), change };
        const message = checkSize(edit);
        if (message !== undefined) {
          return { status: 400, body: { message } };
        }
        return createEditAnswer(await this.#requestEdit(edit));
      },
      (message) => Promise.resolve({ status: 400, body: { message } }),
    );
  }

  /** Replaces the routes; a resend with the same `editId` is the same edit. */
  replaceRoutes(editId: string, change: ReplaceRoutes): Promise<EditResult> {
    return this.#requestEdit(createRoutesEdit(editId, change));
  }

  /**
   * Describes why a replacement of the routes is too large to be replicated;
   * undefined if it isn't.
   */
  checkRoutesSize(editId: string, change: ReplaceRoutes): string | undefined {
    return checkSize(createRoutesEdit(editId, change));
  }

  /** Reads a value; undefined if no quorum confirmed that it is current. */
  async readConfirmed<T>(readValue: () => T): Promise<T | undefined> {
    return await this.#confirmRead() ? readValue() : undefined;
  }

  /** Answers 200 with `readBody` if a quorum confirms the table, else 503. */
  async handleRead(readBody: () => unknown): Promise<OperatorAnswer> {
    return await this.#confirmRead()
      ? { status: 200, body: readBody() }
      : { status: 503, body: { message: TABLE_NOT_CONFIRMED } };
  }

  /** Resolves the pending edit; an unknown request id has no effect. */
  resolveEdit(requestId: number, result: EditResult): void {
    this.#edits.get(requestId)?.(result);
    this.#edits.delete(requestId);
  }

  /** Resolves the pending read; an unknown request id has no effect. */
  resolveRead(requestId: number, isCurrent: boolean): void {
    this.#reads.get(requestId)?.(isCurrent);
    this.#reads.delete(requestId);
  }

  #confirmRead(): Promise<boolean> {
    const requestId = this.#nextRequestId++;
    return new Promise((resolve) => {
      this.#reads.set(requestId, resolve);
      this.#dispatch({ type: "TableReadRequested", requestId });
    });
  }

  #requestEdit(edit: TableEdit): Promise<EditResult> {
    const requestId = this.#nextRequestId++;
    return new Promise((resolve) => {
      this.#edits.set(requestId, resolve);
      this.#dispatch({ type: "EditRequested", requestId, edit });
    });
  }
}

function createRoutesEdit(editId: string, change: ReplaceRoutes): TableEdit {
  return { editId, operator: "unknown", atMs: Date.now(), change };
}

function checkSize(edit: TableEdit): string | undefined {
  const { length } = encodeCommand({ type: "TableEdited", edit });
  return length > MAX_EDIT_BYTES
    ? `Edit of ${length} bytes is over ${MAX_EDIT_BYTES}`
    : undefined;
}

function createEditAnswer(result: EditResult): OperatorAnswer {
  if (result.type === "EditRefused") {
    const message = result.isUnknown ? EDIT_OUTCOME_UNKNOWN : EDIT_NOT_ACCEPTED;
    return { status: 503, body: { message } };
  }
  const { outcome } = result;
  const status = outcome.type === "EditConflicted" ? 409 : 200;
  return { status, body: outcome };
}
