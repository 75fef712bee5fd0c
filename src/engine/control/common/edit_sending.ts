/** Sends edits received by any replica to the leader. */
import { setEntry } from "../../../base/common/maps.ts";
import {
  chainReduction,
  createReduction,
} from "../../../base/common/reduction.ts";
import { findLeader } from "../../consensus/common/term.ts";
import type { TableEdit } from "../../table/common/table_reducer.ts";
import { stepConsensus } from "./consensus_step.ts";
import { retryEdit } from "./edit_requests.ts";
import { encodeCommand } from "./replicated_codec.ts";
import {
  createRequestId,
  FORWARD_RETRY_MS,
  parseSettingsId,
  REQUEST_TIMEOUT_MS,
} from "./replication_state.ts";
import type {
  EditOrigin,
  PendingEdit,
  ReplicationState,
  ReplicationStep,
} from "./replication_state.ts";

/** Accepts an edit and sends it to the leader, if one is known. */
export function startEdit(
  state: ReplicationState,
  request: { readonly edit: TableEdit; readonly origin: EditOrigin },
  nowMs: number,
): ReplicationStep {
  const requestId = createRequestId(state);
  const pending: PendingEdit = {
    ...request,
    deadlineMs: nowMs + REQUEST_TIMEOUT_MS,
    sentTo: undefined,
    sentAtMs: nowMs,
    isUnknown: false,
  };
  const edits = setEntry(state.edits, requestId, pending);
  const next = { ...state, edits, nextRequest: state.nextRequest + 1 };
  return sendEdit(next, requestId, nowMs);
}

/** Sends the edits that wait for a leader, or that a leader didn't answer. */
export function sendDueEdits(
  state: ReplicationState,
  nowMs: number,
): ReplicationStep {
  const due = [...state.edits]
    .filter(([, edit]) => isDue(state, edit, nowMs));
  return due.reduce<ReplicationStep>(
    (step, [requestId]) =>
      chainReduction(step, (s) => sendEdit(s, requestId, nowMs)),
    createReduction(state),
  );
}

/**
 * Whether an edit must be sent (again). One proposed by this replica itself
 * never is: consensus always answers it.
 */
function isDue(
  state: ReplicationState,
  { sentTo, sentAtMs }: PendingEdit,
  nowMs: number,
): boolean {
  if (sentTo === undefined || sentTo === state.consensus.replicaId) {
    return sentTo === undefined;
  }
  return sentTo !== findLeader(state.consensus) ||
    nowMs - sentAtMs >= FORWARD_RETRY_MS;
}

function sendEdit(
  state: ReplicationState,
  requestId: string,
  nowMs: number,
): ReplicationStep {
  const pending = state.edits.get(requestId)!;
  const { replicaId } = state.consensus;
  const leaderId = findLeader(state.consensus);
  if (leaderId === undefined) {
    return createReduction(state);
  }
  const isUnknown = pending.isUnknown || pending.sentTo !== undefined;
  const sent = { ...pending, sentTo: leaderId, sentAtMs: nowMs, isUnknown };
  const next = { ...state, edits: setEntry(state.edits, requestId, sent) };
  if (leaderId === replicaId) {
    const payload = encodeCommand({
      type: "TableEdited",
      edit: { ...pending.edit, atMs: nowMs },
    });
    const event = { type: "PayloadProposed", requestId, payload } as const;
    return stepConsensus(next, event, nowMs);
  }
  if (pending.origin.type === "Peer") {
    return retryEdit(state, requestId, { isUnknown: false });
  }
  const { edit } = pending;
  const from = state.cluster.self;
  return createReduction(next, [{
    type: "SendToPeer",
    peer: parseSettingsId(leaderId),
    message: { type: "EditForward", requestId, from, edit },
  }]);
}
