/** Hands writes to the disk, and holds back what promises them. */
import { createReduction } from "../../../base/common/reduction.ts";
import type { ConsensusMessage } from "./consensus_messages.ts";
import type {
  ConsensusState,
  ConsensusStep,
  HeldMessage,
  Persistence,
  StepContext,
} from "./consensus_types.ts";
import type { HardState, LogEntry, Snapshot } from "./log_types.ts";
import { appendToLog, locateLogEnd } from "./replicated_log.ts";

/** What a write changes. */
export interface LogChange {
  readonly truncateFrom?: number;
  readonly entries?: readonly LogEntry[];
}

/** Writes term and vote, as they are in `state`. */
export function writeHardState(
  context: StepContext,
  state: ConsensusState,
): ConsensusStep {
  const { term, votedFor } = state;
  const hardState = context.rules.selectHardState({ term, votedFor });
  return writeChange(state, hardState, {});
}

/** Changes the log, in memory and on the disk. */
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
  const persistence = limitDurable(state.persistence, truncateFrom - 1);
  return writeChange({ ...next, persistence }, undefined, change);
}

/** Writes a snapshot that replaces the log up to its end. */
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

/** Sends a message at once: it promises nothing that isn't synced. */
export function sendNow(
  state: ConsensusState,
  to: string,
  message: ConsensusMessage,
): ConsensusStep {
  return createReduction(state, [{ type: "SendMessage", to, message }]);
}

/** Sends a message as soon as all that was written before it is synced. */
export function sendOnceSynced(
  context: StepContext,
  state: ConsensusState,
  held: Omit<HeldMessage, "persistId">,
): ConsensusStep {
  const { persistence } = state;
  const persistId = persistence.lastId;
  const isToSelf = held.to === state.replicaId;
  const mustWait = isToSelf || context.rules.isPersistAwaited();
  if (!mustWait || persistence.completedId >= persistId) {
    return sendNow(state, held.to, held.message);
  }
  const others = persistence.held.filter((other) =>
    other.persistId !== persistId || !isReplacedBy(other, held)
  );
  const next = [...others, { persistId, ...held }];
  return createReduction({
    ...state,
    persistence: { ...persistence, held: next },
  });
}

/** Completes the persists up to `persistId`; returns what may leave now. */
export function completePersist(
  state: ConsensusState,
  persistId: number,
): { readonly state: ConsensusState; readonly due: readonly HeldMessage[] } {
  const { persistence } = state;
  const done = persistence.pending.filter((p) => p.persistId <= persistId);
  const completedId = Math.max(persistence.completedId, persistId);
  const next: Persistence = {
    ...persistence,
    completedId,
    durableIndex: done.at(-1)?.lastIndex ?? persistence.durableIndex,
    pending: persistence.pending.filter((p) => p.persistId > persistId),
    held: persistence.held.filter((h) => h.persistId > completedId),
  };
  const due = persistence.held.filter((h) => h.persistId <= completedId);
  return { state: { ...state, persistence: next }, due };
}

function isReplacedBy(
  held: HeldMessage,
  next: Omit<HeldMessage, "persistId">,
): boolean {
  const before = held.message;
  const after = next.message;
  return held.to === next.to &&
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

function limitDurable(persistence: Persistence, index: number): Persistence {
  return {
    ...persistence,
    durableIndex: Math.min(persistence.durableIndex, index),
    pending: persistence.pending.map((p) => ({
      ...p,
      lastIndex: Math.min(p.lastIndex, index),
    })),
  };
}
