/** What at most once is built of: claims, records and sets of holders. */

/** The idempotency key of a request, and what tells requests apart. */
export interface RequestKey {
  readonly key: string;
  /** Digest of method, target and body. */
  readonly fingerprint: string;
}

/** One attempt's wish to run the request of a key. */
export interface Claim {
  readonly attemptId: string;
  readonly fingerprint: string;
  /** `host:port` of the ingress of the node that made it. */
  readonly ingress: string;
}

/** A backend server's whole answer, as it is kept. */
export interface StoredAnswer {
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  /** Text, so that it can stand in a recorded trace. */
  readonly bodyBase64: string;
}

/** What came of the attempt that ran. */
export interface RunOutcome {
  readonly attemptId: string;
  readonly fingerprint: string;
  /** Undefined where the answer was too large to keep. */
  readonly answer: StoredAnswer | undefined;
}

/** What a holder knows of one key. */
export interface ClaimRecord {
  readonly key: string;
  /** More than one only after a change of holders copied split votes. */
  readonly claims: readonly Claim[];
  /** Set once an attempt has run and its answer is known. */
  readonly outcome: RunOutcome | undefined;
  /** Wall clock in milliseconds. */
  readonly expiresAtMs: number;
}

/** One start of a node that keeps records. */
export interface Holder {
  readonly nodeId: string;
  /** A restarted node is another holder, and empty. */
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

/** What control tells the nodes of a service. */
export interface HolderSets {
  /** The only set in which claims are made. */
  readonly active: HolderSet;
  /** Its members copy, and report; nothing is claimed in it yet. */
  readonly proposed: HolderSet | undefined;
}

/** How long a key is remembered, in milliseconds. */
export const KEY_LIFETIME_MS = 24 * 3_600_000;
/** Largest answer body that is kept whole, in bytes. */
export const MAX_STORED_BYTES = 64 * 1024;
/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 255;

/** Counts the members that any two majorities share one of. */
export function countMajority(members: readonly unknown[]): number {
  return Math.floor(members.length / 2) + 1;
}
