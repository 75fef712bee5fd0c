/** A holder's part: votes on claims, keeps outcomes, copies older epochs. */
import type { AskHolder, ClaimMessage, ClaimReply } from "./claim_messages.ts";
import { CLAIM_PREFIX, HOLDER_TIMEOUT_MS } from "./claim_messages.ts";
import { countMajority, KEY_LIFETIME_MS } from "./claim_types.ts";
import type {
  Claim,
  ClaimRecord,
  Holder,
  HolderSet,
  HolderSets,
} from "./claim_types.ts";
import {
  BUCKETS,
  EMPTY_RECORDS,
  findRecord,
  measureRecord,
  putRecord,
  removeRecord,
} from "./record_map.ts";
import type { RecordMap } from "./record_map.ts";

/** Records that are being copied from the holders of an older epoch. */
export interface Copying {
  /** The epoch that the copy gives a voice in. */
  readonly epoch: number;
  readonly from: NonNullable<HolderSet["previous"]>;
  /** Nodes of the older epoch whose pages are all here. */
  readonly done: readonly string[];
}

/** What a node holds for its service. */
export interface HolderState {
  readonly records: RecordMap;
  /** The epoch whose records are all here; 0 gives no voice. */
  readonly voiceEpoch: number;
  /** Nothing is granted in this epoch nor in older ones. */
  readonly sealedEpoch: number;
  readonly copying: Copying | undefined;
}

/** A step of a holder. */
export interface HolderStep {
  readonly state: HolderState;
  readonly asks: readonly AskHolder[];
  /** The epoch in which the node has just got a voice. */
  readonly copiedEpoch: number | undefined;
}

/** Most records that one node keeps. */
export const MAX_RECORDS = 50_000;
/** Most bytes that the records of one node take. */
export const MAX_RECORD_BYTES = 16 * 1024 * 1024;
/** Kept free for the answers of requests that run now. */
const ANSWER_ROOM_BYTES = MAX_RECORD_BYTES / 8;
const PAGE_BYTES = 128 * 1024;
const COPY_PREFIX = `${CLAIM_PREFIX}copy/`;

/** A node that has just started: empty and without a voice. */
export const INITIAL_HOLDER: HolderState = {
  records: EMPTY_RECORDS,
  voiceEpoch: 0,
  sealedEpoch: 0,
  copying: undefined,
};

/** Whether this start of the node belongs to a set. */
export function isMember(
  set: { readonly members: readonly Holder[] },
  self: Pick<Holder, "nodeId" | "incarnation">,
): boolean {
  return set.members.some((member) =>
    member.nodeId === self.nodeId && member.incarnation === self.incarnation
  );
}

/** Answers one message; `incarnation` is the node's own. */
export function answerHolder(
  state: HolderState,
  message: Exclude<ClaimMessage, { type: "CheckClaim" }>,
  at: { readonly incarnation: number; readonly nowMs: number },
): { readonly state: HolderState; readonly reply: ClaimReply } {
  switch (message.type) {
    case "ClaimKey":
      return grantClaim(state, message, at);
    case "ReleaseClaim":
      return {
        state: releaseClaim(state, message.key, message.attemptId),
        reply: { type: "ClaimReleased" },
      };
    case "RecordOutcome":
      return recordOutcome(state, message, at);
    case "SealEpoch":
      return sealEpoch(state, message, at.incarnation);
  }
}

/** Starts to copy where the node is a member that has no voice yet. */
export function followSets(
  state: HolderState,
  sets: HolderSets,
  self: Pick<Holder, "nodeId" | "incarnation">,
): HolderStep {
  const wanted = [sets.proposed, sets.active].find((set) =>
    set !== undefined && isMember(set, self)
  );
  if (wanted === undefined || wanted.epoch <= state.voiceEpoch) {
    const isCurrent = wanted?.epoch === state.voiceEpoch;
    const copiedEpoch = isCurrent ? state.voiceEpoch : undefined;
    return { state, asks: [], copiedEpoch };
  }
  if (wanted.previous === undefined) {
    return activateVoice(state, wanted.epoch);
  }
  if (state.copying?.epoch === wanted.epoch) {
    return askMissing(state, state.copying);
  }
  const copying = { epoch: wanted.epoch, from: wanted.previous, done: [] };
  return askMissing({ ...state, copying }, copying);
}

/** Takes a page that another holder sent, or the lack of one. */
export function takePage(
  state: HolderState,
  requestId: string,
  reply: ClaimReply | undefined,
): HolderStep {
  const { copying } = state;
  const [epoch, nodeId] = requestId.slice(COPY_PREFIX.length).split("/", 2);
  const isWanted = copying !== undefined && copying.epoch === Number(epoch);
  if (!isWanted || reply?.type !== "EpochSealed") {
    return { state, asks: [], copiedEpoch: undefined };
  }
  const records = reply.records.reduce(mergeRecord, state.records);
  if (reply.cursor !== undefined) {
    const from = copying.from.members.find((one) => one.nodeId === nodeId)!;
    const ask = createSealAsk(copying, from, reply.cursor);
    return {
      state: { ...state, records },
      asks: [ask],
      copiedEpoch: undefined,
    };
  }
  const done = [...new Set([...copying.done, nodeId!])];
  if (done.length >= countMajority(copying.from.members)) {
    return activateVoice({ ...state, records }, copying.epoch);
  }
  const next = { ...state, records, copying: { ...copying, done } };
  return { state: next, asks: [], copiedEpoch: undefined };
}

/** Whether a reply belongs to a copy. */
export function isCopyReply(requestId: string): boolean {
  return requestId.startsWith(COPY_PREFIX);
}

/** Forgets the expired records of one bucket. */
export function evictExpired(
  state: HolderState,
  bucket: number,
  nowMs: number,
): HolderState {
  let { records } = state;
  for (const record of records.buckets[bucket % BUCKETS]!.values()) {
    if (record.expiresAtMs <= nowMs) {
      records = removeRecord(records, record.key);
    }
  }
  return records === state.records ? state : { ...state, records };
}

function grantClaim(
  state: HolderState,
  message: Extract<ClaimMessage, { type: "ClaimKey" }>,
  at: { readonly incarnation: number; readonly nowMs: number },
): { readonly state: HolderState; readonly reply: ClaimReply } {
  const { epoch, key, claim } = message;
  const isOpen = message.incarnation === at.incarnation &&
    epoch === state.voiceEpoch && epoch > state.sealedEpoch;
  if (!isOpen) {
    return { state, reply: { type: "ClaimRefused", reason: "epoch" } };
  }
  const found = findRecord(state.records, key);
  const record = found === undefined || found.expiresAtMs <= at.nowMs
    ? undefined
    : found;
  if (record !== undefined) {
    const isOwn = record.outcome === undefined && record.claims.length === 1 &&
      record.claims[0]!.attemptId === claim.attemptId;
    const reply: ClaimReply = isOwn
      ? { type: "ClaimGranted" }
      : { type: "ClaimHeld", record };
    return { state, reply };
  }
  if (isFull(state.records)) {
    return { state, reply: { type: "ClaimRefused", reason: "full" } };
  }
  const expiresAtMs = at.nowMs + KEY_LIFETIME_MS;
  const granted = { key, claims: [claim], outcome: undefined, expiresAtMs };
  const records = putRecord(state.records, granted);
  return { state: { ...state, records }, reply: { type: "ClaimGranted" } };
}

/** What has run is never forgotten by a release. */
function releaseClaim(
  state: HolderState,
  key: string,
  attemptId: string,
): HolderState {
  const record = findRecord(state.records, key);
  if (record === undefined || record.outcome !== undefined) {
    return state;
  }
  const claims = record.claims.filter((one) => one.attemptId !== attemptId);
  const records = claims.length === 0
    ? removeRecord(state.records, key)
    : putRecord(state.records, { ...record, claims });
  return { ...state, records };
}

/** An outcome is a fact: it is kept in any epoch, and counted in one. */
function recordOutcome(
  state: HolderState,
  message: Extract<ClaimMessage, { type: "RecordOutcome" }>,
  at: { readonly incarnation: number; readonly nowMs: number },
): { readonly state: HolderState; readonly reply: ClaimReply } {
  const { key, outcome } = message;
  const expiresAtMs = at.nowMs + KEY_LIFETIME_MS;
  const record = { key, claims: [], outcome, expiresAtMs };
  const known = findRecord(state.records, key)?.outcome;
  const isKept = known?.answer !== undefined;
  const sizeBytes = state.records.sizeBytes + measureRecord(record);
  const kept = sizeBytes <= MAX_RECORD_BYTES
    ? record
    : { ...record, outcome: { ...outcome, answer: undefined } };
  const records = isKept ? state.records : putRecord(state.records, kept);
  const isCounted = message.incarnation === at.incarnation &&
    message.epoch === state.voiceEpoch && message.epoch > state.sealedEpoch;
  const reply: ClaimReply = isCounted
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
  if (message.incarnation !== incarnation || state.voiceEpoch < epoch) {
    return { state, reply: { type: "ClaimRefused", reason: "epoch" } };
  }
  const sealedEpoch = Math.max(state.sealedEpoch, epoch);
  const records: ClaimRecord[] = [];
  let sizeBytes = 0;
  let next = cursor;
  while (next < BUCKETS && sizeBytes < PAGE_BYTES) {
    for (const record of state.records.buckets[next]!.values()) {
      records.push(record);
      sizeBytes += measureRecord(record);
    }
    next += 1;
  }
  const following = next < BUCKETS ? next : undefined;
  return {
    state: { ...state, sealedEpoch },
    reply: { type: "EpochSealed", records, cursor: following },
  };
}

/** Any claim may have had the majority, so all are kept. */
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
        own.claims.every((one) => one.attemptId !== claim.attemptId)
      ),
    ]
    : [];
  const expiresAtMs = Math.max(own.expiresAtMs, other.expiresAtMs);
  return putRecord(records, { key: own.key, claims, outcome, expiresAtMs });
}

function askMissing(state: HolderState, copying: Copying): HolderStep {
  const asks = copying.from.members
    .filter((member) => !copying.done.includes(member.nodeId))
    .map((member) => createSealAsk(copying, member, 0));
  return { state, asks, copiedEpoch: undefined };
}

function createSealAsk(
  copying: Copying,
  from: Holder,
  cursor: number,
): AskHolder {
  const { incarnation } = from;
  const { epoch } = copying.from;
  return {
    type: "AskPeer",
    requestId: `${COPY_PREFIX}${copying.epoch}/${from.nodeId}/${cursor}`,
    address: from.ingress,
    message: { type: "SealEpoch", epoch, incarnation, cursor },
    timeoutMs: HOLDER_TIMEOUT_MS * 4,
    isFresh: false,
  };
}

function activateVoice(state: HolderState, epoch: number): HolderStep {
  const next = { ...state, voiceEpoch: epoch, copying: undefined };
  return { state: next, asks: [], copiedEpoch: epoch };
}

function isFull(records: RecordMap): boolean {
  return records.count >= MAX_RECORDS ||
    records.sizeBytes >= MAX_RECORD_BYTES - ANSWER_ROOM_BYTES;
}
