/**
 * The holder's side of the claim protocol: votes on claims, stores outcomes, and
 * copies the records of the previous epoch.
 */
import type {
  ClaimMessage,
  ClaimReply,
  HolderRequest,
} from "./claim_messages.ts";
import { CLAIM_REQUEST_PREFIX, HOLDER_TIMEOUT_MS } from "./claim_messages.ts";
import { countMajority, KEY_LIFETIME_MS } from "./claim_types.ts";
import type {
  Claim,
  ClaimRecord,
  Holder,
  HolderSet,
  HolderSets,
} from "./claim_types.ts";
import {
  BUCKET_COUNT,
  EMPTY_RECORDS,
  findRecord,
  measureRecord,
  putRecord,
  removeRecord,
} from "./record_map.ts";
import type { RecordMap } from "./record_map.ts";

/** Progress of copying the records of the previous epoch's holders. */
export interface CopyProgress {
  /** The epoch in which the node may vote once the copy is complete. */
  readonly epoch: number;
  readonly source: NonNullable<HolderSet["previous"]>;
  /** Nodes of the previous epoch whose pages have all been received. */
  readonly completedNodeIds: readonly string[];
}

/** The records that a node stores for its service, and the epoch it votes in. */
export interface HolderState {
  readonly records: RecordMap;
  /** The epoch in which the node votes; 0 if it holds no complete copy. */
  readonly votingEpoch: number;
  /** No claim is granted in this epoch or an older one. */
  readonly sealedEpoch: number;
  readonly copying: CopyProgress | undefined;
}

/** The holder's state after an event, with the requests to send. */
export interface HolderStep {
  readonly state: HolderState;
  readonly requests: readonly HolderRequest[];
  /** The epoch to report as copied; undefined if there is none. */
  readonly copiedEpoch: number | undefined;
}

/** Maximum number of records at one node. */
export const MAX_RECORDS = 50_000;
/** Maximum total size of the records of one node. */
export const MAX_RECORD_BYTES = 16 * 1024 * 1024;
/** Reserved for the answers of running requests: new claims can't use it. */
const RESERVED_ANSWER_BYTES = MAX_RECORD_BYTES / 8;
/** A page ends with the bucket that reaches this size. */
const TARGET_PAGE_BYTES = 128 * 1024;
const COPY_REQUEST_PREFIX = `${CLAIM_REQUEST_PREFIX}copy/`;

/** State after a start: no records, and no epoch to vote in. */
export const INITIAL_HOLDER_STATE: HolderState = {
  records: EMPTY_RECORDS,
  votingEpoch: 0,
  sealedEpoch: 0,
  copying: undefined,
};

/** Whether this process instance is a member of a set. */
export function isMember(
  set: { readonly members: readonly Holder[] },
  self: Pick<Holder, "nodeId" | "incarnation">,
): boolean {
  return set.members.some((member) =>
    member.nodeId === self.nodeId && member.incarnation === self.incarnation
  );
}

/** Answers a message; `local` has the incarnation and clock of this node. */
export function answerHolder(
  state: HolderState,
  message: Exclude<ClaimMessage, { type: "CheckClaim" }>,
  local: { readonly incarnation: number; readonly nowMs: number },
): { readonly state: HolderState; readonly reply: ClaimReply } {
  switch (message.type) {
    case "ClaimKey":
      return grantClaim(state, message, local);
    case "ReleaseClaim":
      return {
        state: removeClaim(state, message.key, message.attemptId),
        reply: { type: "ClaimReleased" },
      };
    case "RecordOutcome":
      return recordOutcome(state, message, local);
    case "SealEpoch":
      return sealEpoch(state, message, local.incarnation);
  }
}

/** Starts or continues copying if the node is a member that may not vote yet. */
export function applySets(
  state: HolderState,
  sets: HolderSets,
  self: Pick<Holder, "nodeId" | "incarnation">,
): HolderStep {
  const target = [sets.proposed, sets.active].find((set) =>
    set !== undefined && isMember(set, self)
  );
  if (target === undefined || target.epoch <= state.votingEpoch) {
    const isCurrent = target?.epoch === state.votingEpoch;
    const copiedEpoch = isCurrent ? state.votingEpoch : undefined;
    return { state, requests: [], copiedEpoch };
  }
  if (target.previous === undefined) {
    return activateVoting(state, target.epoch);
  }
  if (state.copying?.epoch === target.epoch) {
    return requestMissingPages(state, state.copying);
  }
  const copying = {
    epoch: target.epoch,
    source: target.previous,
    completedNodeIds: [],
  };
  return requestMissingPages({ ...state, copying }, copying);
}

/** Stores a page of another holder's records; ignores a missing reply. */
export function receivePage(
  state: HolderState,
  requestId: string,
  reply: ClaimReply | undefined,
): HolderStep {
  const { copying } = state;
  const [epoch, nodeId] = requestId.slice(COPY_REQUEST_PREFIX.length).split(
    "/",
    2,
  );
  const isCurrentCopy = copying !== undefined &&
    copying.epoch === Number(epoch);
  if (!isCurrentCopy || reply?.type !== "EpochSealed") {
    return { state, requests: [], copiedEpoch: undefined };
  }
  const records = reply.records.reduce(mergeRecord, state.records);
  if (reply.cursor !== undefined) {
    const holder = copying.source.members.find((member) =>
      member.nodeId === nodeId
    )!;
    const request = createSealRequest(copying, holder, reply.cursor);
    return {
      state: { ...state, records },
      requests: [request],
      copiedEpoch: undefined,
    };
  }
  const completedNodeIds = [...new Set([...copying.completedNodeIds, nodeId!])];
  if (completedNodeIds.length >= countMajority(copying.source.members)) {
    return activateVoting({ ...state, records }, copying.epoch);
  }
  const next = { ...state, records, copying: { ...copying, completedNodeIds } };
  return { state: next, requests: [], copiedEpoch: undefined };
}

/** Whether a request id belongs to the copying of records. */
export function isCopyReply(requestId: string): boolean {
  return requestId.startsWith(COPY_REQUEST_PREFIX);
}

/** Evicts the expired records of one bucket. */
export function evictExpiredRecords(
  state: HolderState,
  bucket: number,
  nowMs: number,
): HolderState {
  let { records } = state;
  for (const record of records.buckets[bucket % BUCKET_COUNT]!.values()) {
    if (record.expiresAtMs <= nowMs) {
      records = removeRecord(records, record.key);
    }
  }
  return records === state.records ? state : { ...state, records };
}

function grantClaim(
  state: HolderState,
  message: Extract<ClaimMessage, { type: "ClaimKey" }>,
  local: { readonly incarnation: number; readonly nowMs: number },
): { readonly state: HolderState; readonly reply: ClaimReply } {
  const { epoch, key, claim } = message;
  const canVote = message.incarnation === local.incarnation &&
    epoch === state.votingEpoch && epoch > state.sealedEpoch;
  if (!canVote) {
    return { state, reply: { type: "ClaimRefused", reason: "epoch" } };
  }
  const stored = findRecord(state.records, key);
  const record = stored === undefined || stored.expiresAtMs <= local.nowMs
    ? undefined
    : stored;
  if (record !== undefined) {
    const isSameAttempt = record.outcome === undefined &&
      record.claims.length === 1 &&
      record.claims[0]!.attemptId === claim.attemptId;
    const reply: ClaimReply = isSameAttempt
      ? { type: "ClaimGranted" }
      : { type: "ClaimHeld", record };
    return { state, reply };
  }
  if (isFull(state.records)) {
    return { state, reply: { type: "ClaimRefused", reason: "full" } };
  }
  const expiresAtMs = local.nowMs + KEY_LIFETIME_MS;
  const granted = { key, claims: [claim], outcome: undefined, expiresAtMs };
  const records = putRecord(state.records, granted);
  return { state: { ...state, records }, reply: { type: "ClaimGranted" } };
}

/** Removes a claim; a record with an outcome is never removed by a release. */
function removeClaim(
  state: HolderState,
  key: string,
  attemptId: string,
): HolderState {
  const record = findRecord(state.records, key);
  if (record === undefined || record.outcome !== undefined) {
    return state;
  }
  const claims = record.claims.filter((claim) => claim.attemptId !== attemptId);
  const records = claims.length === 0
    ? removeRecord(state.records, key)
    : putRecord(state.records, { ...record, claims });
  return { ...state, records };
}

/**
 * Stores an outcome whatever its epoch, because it is final, but acknowledges it
 * only in the epoch in which the node votes. Omits the answer if the records
 * would exceed `MAX_RECORD_BYTES` with it.
 */
function recordOutcome(
  state: HolderState,
  message: Extract<ClaimMessage, { type: "RecordOutcome" }>,
  local: { readonly incarnation: number; readonly nowMs: number },
): { readonly state: HolderState; readonly reply: ClaimReply } {
  const { key, outcome } = message;
  const expiresAtMs = local.nowMs + KEY_LIFETIME_MS;
  const record = { key, claims: [], outcome, expiresAtMs };
  const storedOutcome = findRecord(state.records, key)?.outcome;
  const hasAnswer = storedOutcome?.answer !== undefined;
  const sizeBytes = state.records.sizeBytes + measureRecord(record);
  const fittingRecord = sizeBytes <= MAX_RECORD_BYTES
    ? record
    : { ...record, outcome: { ...outcome, answer: undefined } };
  const records = hasAnswer
    ? state.records
    : putRecord(state.records, fittingRecord);
  const isAcknowledged = message.incarnation === local.incarnation &&
    message.epoch === state.votingEpoch && message.epoch > state.sealedEpoch;
  const reply: ClaimReply = isAcknowledged
    ? { type: "OutcomeRecorded" }
    : { type: "ClaimRefused", reason: "epoch" };
  return { state: { ...state, records }, reply };
}

function sealEpoch(
  state: HolderState,
  message: Extract<ClaimMessage, { type: "SealEpoch" }>,
  incarnation: number,
): { readonly state: HolderState; readonly reply: ClaimReply } {
  const { epoch, cursor } = message;
  if (message.incarnation !== incarnation || state.votingEpoch < epoch) {
    return { state, reply: { type: "ClaimRefused", reason: "epoch" } };
  }
  const sealedEpoch = Math.max(state.sealedEpoch, epoch);
  const records: ClaimRecord[] = [];
  let sizeBytes = 0;
  let bucket = cursor;
  while (bucket < BUCKET_COUNT && sizeBytes < TARGET_PAGE_BYTES) {
    for (const record of state.records.buckets[bucket]!.values()) {
      records.push(record);
      sizeBytes += measureRecord(record);
    }
    bucket += 1;
  }
  const nextCursor = bucket < BUCKET_COUNT ? bucket : undefined;
  return {
    state: { ...state, sealedEpoch },
    reply: { type: "EpochSealed", records, cursor: nextCursor },
  };
}

/**
 * Merges two records. Without an outcome the claims of both are kept, as any of
 * them may have had a majority.
 */
function mergeRecord(records: RecordMap, other: ClaimRecord): RecordMap {
  const own = findRecord(records, other.key);
  if (own === undefined) {
    return putRecord(records, other);
  }
  const outcome = own.outcome?.answer === undefined
    ? other.outcome ?? own.outcome
    : own.outcome;
  const claims: readonly Claim[] = outcome === undefined
    ? [
      ...own.claims,
      ...other.claims.filter((claim) =>
        own.claims.every((ownClaim) => ownClaim.attemptId !== claim.attemptId)
      ),
    ]
    : [];
  const expiresAtMs = Math.max(own.expiresAtMs, other.expiresAtMs);
  return putRecord(records, { key: own.key, claims, outcome, expiresAtMs });
}

function requestMissingPages(
  state: HolderState,
  copying: CopyProgress,
): HolderStep {
  const requests = copying.source.members
    .filter((member) => !copying.completedNodeIds.includes(member.nodeId))
    .map((member) => createSealRequest(copying, member, 0));
  return { state, requests, copiedEpoch: undefined };
}

function createSealRequest(
  copying: CopyProgress,
  holder: Holder,
  cursor: number,
): HolderRequest {
  const { incarnation } = holder;
  const { epoch } = copying.source;
  return {
    type: "AskPeer",
    requestId:
      `${COPY_REQUEST_PREFIX}${copying.epoch}/${holder.nodeId}/${cursor}`,
    address: holder.ingress,
    message: { type: "SealEpoch", epoch, incarnation, cursor },
    timeoutMs: HOLDER_TIMEOUT_MS * 4,
    isFresh: false,
  };
}

function activateVoting(state: HolderState, epoch: number): HolderStep {
  const next = { ...state, votingEpoch: epoch, copying: undefined };
  return { state: next, requests: [], copiedEpoch: epoch };
}

function isFull(records: RecordMap): boolean {
  return records.count >= MAX_RECORDS ||
    records.sizeBytes >= MAX_RECORD_BYTES - RESERVED_ANSWER_BYTES;
}
