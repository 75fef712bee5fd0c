/** Operators' requests that wait for the replicated state. */
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

const NOT_ACCEPTED = "No quorum of the control replicas is in reach: " +
  "the edit was not accepted";
const UNKNOWN = "No quorum confirmed the edit in time: it is not accepted " +
  "yet, but may be; send it again with the same edit id to find out";
const NOT_CURRENT = "No quorum of the control replicas is in reach: " +
  "this replica can't tell whether its table is current";

/** Matches requests with the effects that answer them. */
export class ControlRequests {
  readonly #dispatch: (event: ReplicationEvent) => void;
  readonly #edits = new Map<number, (result: EditResult) => void>();
  readonly #reads = new Map<number, (isCurrent: boolean) => void>();
  #next = 1;

  constructor(dispatch: (event: ReplicationEvent) => void) {
    this.#dispatch = dispatch;
  }

  /** Takes an edit; answers once it is committed or refused. */
  takeEdit(request: OperatorRequest): Promise<OperatorAnswer> {
    return parseEditBody(request.body).match(
      async ({ editId, change }) => {
        const { operator } = request;
        const edit = { editId, operator, atMs: Date.now(), change };
        const payload = encodeCommand({ type: "TableEdited", edit });
        if (payload.length > MAX_EDIT_BYTES) {
          const message = `Edit is over ${MAX_EDIT_BYTES} bytes`;
          return { status: 400, body: { message } };
        }
        return createEditAnswer(await this.#requestEdit(edit));
      },
      (message) => Promise.resolve({ status: 400, body: { message } }),
    );
  }

  /** Replaces the routes; `editId` names the replacement in any resend. */
  replaceRoutes(editId: string, change: ReplaceRoutes): Promise<EditResult> {
    const operator = "unknown";
    return this.#requestEdit({ editId, operator, atMs: Date.now(), change });
  }

  /** Reads the routes; undefined where no quorum vouched for them. */
  async readCurrent<T>(readValue: () => T): Promise<T | undefined> {
    return await this.#confirmRead() ? readValue() : undefined;
  }

  /** Answers with `readBody` once a quorum vouched for the table. */
  async read(readBody: () => unknown): Promise<OperatorAnswer> {
    return await this.#confirmRead()
      ? { status: 200, body: readBody() }
      : { status: 503, body: { message: NOT_CURRENT } };
  }

  /** Answers an edit. */
  answerEdit(requestId: number, result: EditResult): void {
    this.#edits.get(requestId)?.(result);
    this.#edits.delete(requestId);
  }

  /** Answers a read. */
  answerRead(requestId: number, isCurrent: boolean): void {
    this.#reads.get(requestId)?.(isCurrent);
    this.#reads.delete(requestId);
  }

  #confirmRead(): Promise<boolean> {
    const requestId = this.#next++;
    return new Promise((resolve) => {
      this.#reads.set(requestId, resolve);
      this.#dispatch({ type: "TableReadRequested", requestId });
    });
  }

  #requestEdit(edit: TableEdit): Promise<EditResult> {
    const requestId = this.#next++;
    return new Promise((resolve) => {
      this.#edits.set(requestId, resolve);
      this.#dispatch({ type: "EditRequested", requestId, edit });
    });
  }
}

function createEditAnswer(result: EditResult): OperatorAnswer {
  if (result.type === "EditRefused") {
    const message = result.isUnknown ? UNKNOWN : NOT_ACCEPTED;
    return { status: 503, body: { message } };
  }
  const { outcome } = result;
  const status = outcome.type === "EditConflicted" ? 409 : 200;
  return { status, body: outcome };
}
