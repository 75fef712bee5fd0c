/** Log and snapshot writes, and messages deferred until a write is synced. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { ConsensusMessage } from "./consensus_messages.ts";
import type {
  ConsensusState,
  ConsensusStep,
  DeferredMessage,
  Persistence,
  StepContext,
} from "./consensus_types.ts";
import type { HardState, LogEntry, Snapshot } from "./log_types.ts";
import { appendToLog, locateLogEnd } from "./replicated_log.ts";

/** A change to the log: a truncation, then an append. */
export interface LogChange {
  readonly truncateFrom?: number;
  readonly entries?: readonly LogEntry[];
}

/** Writes the term and vote of `state`. */
export function writeHardState(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { term, votedFor } = state;
  const hardState = context.rules.selectHardState({ term, votedFor });
  return writeChange(state, hardState, {});
}

/** Changes the log in memory and on disk. */
export function writeLog(
  state: ConsensusState,
  change: LogChange,
): ConsensusStep {
  const { truncateFrom, entries = [] } = change;
  const log = appendToLog(state.log, entries, truncateFrom);
  const next = { ...state, log };
  if (truncateFrom === undefined) {
    return writeChange(next, undefined, change);
  }
  const persistence = limitDurableIndex(state.persistence, truncateFrom - 1);
  return writeChange({ ...next, persistence }, undefined, change);
}

/** Writes a snapshot that replaces the log up to the snapshot's last index. */
export function writeSnapshot(
  state: ConsensusState,
  snapshot: Snapshot,
  discardsLog: boolean,
): ConsensusStep {
  const persistence = addPending(state);
  return createReduction({ ...state, snapshot, persistence }, [{
    type: "PersistSnapshot",
    persistId: persistence.lastId,
    snapshot,
    discardsLog,
  }]);
}

/** Sends a message at once; it must not depend on unsynced writes. */
export function sendNow(
  state: ConsensusState,
  to: string,
  message: ConsensusMessage,
): ConsensusStep {
  return createReduction(state, [{ type: "SendMessage", to, message }]);
}

/** Sends a message once all earlier writes are synced. */
export function sendOnceSynced(
  context: StepContext,
  state: ConsensusState,
  deferred: Omit<DeferredMessage, "persistId">,
): ConsensusStep {
  const { persistence } = state;
  const persistId = persistence.lastId;
  const isToSelf = deferred.to === state.replicaId;
  const mustWait = isToSelf || context.rules.isPersistAwaited();
  if (!mustWait || persistence.completedId >= persistId) {
    return sendNow(state, deferred.to, deferred.message);
  }
  const others = persistence.deferredMessages.filter((other) =>
    other.persistId !== persistId || !isReplacedBy(other, deferred)
  );
  const next = [...others, { persistId, ...deferred }];
  return createReduction({
    ...state,
    persistence: { ...persistence, deferredMessages: next },
  });
}

/**
 * Completes the writes up to `persistId`; returns the messages due to be sent.
 */
export function completePersist(
  state: ConsensusState,
  persistId: number,
): {
  readonly state: ConsensusState;
  readonly due: readonly DeferredMessage[];
} {
  const { persistence } = state;
  const done = persistence.pending.filter((p) => p.persistId <= persistId);
  const completedId = Math.max(persistence.completedId, persistId);
  const next: Persistence = {
    ...persistence,
    completedId,
    durableIndex: done.at(-1)?.lastIndex ?? persistence.durableIndex,
    pending: persistence.pending.filter((p) => p.persistId > persistId),
    deferredMessages: persistence.deferredMessages.filter((h) =>
      h.persistId > completedId
    ),
  };
  const due = persistence.deferredMessages.filter((h) =>
    h.persistId <= completedId
  );
  return { state: { ...state, persistence: next }, due };
}

function isReplacedBy(
  deferred: DeferredMessage,
  next: Omit<DeferredMessage, "persistId">,
): boolean {
  const before = deferred.message;
  const after = next.message;
  return deferred.to === next.to &&
    before.type === "AppendResponse" && after.type === "AppendResponse" &&
    before.isAccepted && after.isAccepted && before.term === after.term &&
    before.round <= after.round && before.matchIndex <= after.matchIndex;
}

function writeChange(
  state: ConsensusState,
  hardState: HardState | undefined,
  change: LogChange,
): ConsensusStep {
  const persistence = addPending(state);
  return createReduction({ ...state, persistence }, [{
    type: "PersistLog",
    persistId: persistence.lastId,
    hardState,
    truncateFrom: change.truncateFrom,
    entries: change.entries ?? [],
  }]);
}

function addPending(state: ConsensusState): Persistence {
  const { persistence } = state;
  const persistId = persistence.lastId + 1;
  const { lastIndex } = locateLogEnd(state.log);
  const pending = [...persistence.pending, { persistId, lastIndex }];
  return { ...persistence, lastId: persistId, pending };
}

function limitDurableIndex(
  persistence: Persistence,
  index: number,
): Persistence {
  return {
    ...persistence,
    durableIndex: Math.min(persistence.durableIndex, index),
    pending: persistence.pending.map((p) => ({
      ...p,
      lastIndex: Math.min(p.lastIndex, index),
    })),
  };
}
