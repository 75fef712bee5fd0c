/**
 * Data types of at-most-once execution. An attempt runs the request of a key only
 * once a majority of the key's holders has granted its claim.
 */

/** The idempotency key of a request, with the request's fingerprint. */
export interface RequestKey {
  readonly key: string;
  /** Digest of method, target and body. */
  readonly fingerprint: string;
}

/** The claim of one attempt to run the request of a key. */
export interface Claim {
  readonly attemptId: string;
  readonly fingerprint: string;
  /** `host:port` of the ingress of the claiming node. */
  readonly ingress: string;
}

/** A backend server's complete answer, as holders store it. */
export interface StoredAnswer {
  readonly status: number;
  /** Names and values, alternating. */
  readonly headers: readonly string[];
  /** Base64, because traces are recorded as text. */
  readonly bodyBase64: string;
}

/** The outcome of the attempt that ran. */
export interface RunOutcome {
  readonly attemptId: string;
  readonly fingerprint: string;
  /** Undefined if the answer was too large to store. */
  readonly answer: StoredAnswer | undefined;
}

/** A holder's record of one key. */
export interface ClaimRecord {
  readonly key: string;
  /** More than one only if a change of holder set merged split votes. */
  readonly claims: readonly Claim[];
  /** Set once an attempt has run and its answer is known. */
  readonly outcome: RunOutcome | undefined;
  /** Steady clock of the holder, in milliseconds. */
  readonly expiresAtMs: number;
}

/** A process instance of a node that stores claim records and votes on claims. */
export interface Holder {
  readonly nodeId: string;
  /** Differs after a restart: the restarted node is a new, empty holder. */
  readonly incarnation: number;
  readonly dataCentre: string;
  /** `host:port` of its ingress. */
  readonly ingress: string;
}

/** The holders of all keys of one service during one epoch. */
export interface HolderSet {
  readonly service: string;
  /** Grows with every proposal; never used twice for a service. */
  readonly epoch: number;
  readonly members: readonly Holder[];
  /** The set whose records are copied first; undefined for the first set. */
  readonly previous:
    | { readonly epoch: number; readonly members: readonly Holder[] }
    | undefined;
}

/** The holder sets that control sends to the nodes of a service. */
export interface HolderSets {
  /** The only set in which claims are made. */
  readonly active: HolderSet;
  /** The next set: its members copy records and report; it grants no claims. */
  readonly proposed: HolderSet | undefined;
}

/** Time that a key's record is retained. */
export const KEY_LIFETIME_MS = 24 * 3_600_000;
/** Largest answer body that is stored. */
export const MAX_STORED_BYTES = 64 * 1024;
/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 255;

/** Returns the size of a majority: any two majorities share a member. */
export function countMajority(members: readonly unknown[]): number {
  return Math.floor(members.length / 2) + 1;
}
